"""What callers, operators and daemons with tenants did, for the rules."""

import dataclasses
import math

from verbenapost.state.resources import Resources

#: Seconds within which a connected daemon applies a confirmed version, as in
#: the settings (``config_apply_ms``).
APPLY_SECONDS = 2.0

#: Seconds after a disturbance until a daemon knows the newest version. A
#: listing that was lost times out after 3 s and is tried again 0.3 s later.
RECOVERY_SECONDS = 4.0


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A request on a route that needs a key, and its answer.

    :param key: the key that was sent; empty without a well-formed header.
    :param status: status of the answer, 0 without an answer.
    """

    sent_at: float
    answered_at: float
    daemon: str
    key: str = dataclasses.field(repr=False)
    status: int


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """A span in which a daemon may not have learned of a new version.

    It was frozen, cut off or restarted, or the store was disturbed.

    :param daemon: name of the daemon, empty for all.
    """

    start: float
    end: float
    daemon: str = ''


@dataclasses.dataclass(frozen=True)
class TenantHistory:
    """What the rules on tenants read.

    :param versions: versions of the configuration in the order of their
        confirmation.
    :param requests: callers' requests on routes that need a key.
    :param runs: starts and ends of runs, in order.
    :param steps: steps of each job, as submitted.
    :param owners: name of the tenant of each job that has one.
    :param leaders: daemon of each fencing token.
    :param disturbances: spans that are left out.
    :param overage: ``quota_overage`` of the settings.
    """

    versions: list
    requests: list = dataclasses.field(default_factory=list)
    runs: list = dataclasses.field(default_factory=list)
    steps: dict = dataclasses.field(default_factory=dict)
    owners: dict = dataclasses.field(default_factory=dict)
    leaders: dict = dataclasses.field(default_factory=dict)
    disturbances: list = dataclasses.field(default_factory=list)
    overage: float = 0
    _last_moments: dict = dataclasses.field(default_factory=dict, init=False)

    def find_possible(self, daemon, start, end):
        """Return the versions that may be in force at a daemon.

        :param daemon: name, or ``None`` if it is not known which.
        :param start: start of the span in which the daemon answers.
        :param end: end of that span.
        """
        if daemon not in self._last_moments:
            self._last_moments[daemon] = [
                self._find_last_moment(index, daemon)
                for index in range(len(self.versions))
            ]
        rows = zip(self.versions, self._last_moments[daemon], strict=True)
        return [
            version
            for version, last_moment in rows
            if version.at <= end and last_moment >= start
        ]

    def find_cap(self, tenant, versions):
        """Return the highest cap of a tenant in some versions.

        For a version that lacks the tenant, the terms stored with its jobs
        apply, so that each earlier cap is possible.

        :param tenant: name of the tenant.
        :param versions: versions that may be in force.
        """
        before = [row for row in self.versions if row.at <= versions[-1].at]
        if all(row.find_tenant(tenant) for row in versions):
            before = versions
        caps = [
            found.cap
            for row in before
            if (found := row.find_tenant(tenant)) is not None
        ]
        return Resources(
            _find_highest(cap.cpu for cap in caps),
            _find_highest(cap.memory for cap in caps),
            _find_highest(cap.gpus for cap in caps),
        )

    def _find_last_moment(self, index, daemon):
        """Return until when a version may be in force at a daemon.

        A disturbance of that time extends it, also by a following one that
        begins before the daemon has recovered.
        """
        if index + 1 == len(self.versions):
            return math.inf
        until = self.versions[index + 1].at + APPLY_SECONDS
        for row in sorted(self.disturbances, key=lambda found: found.start):
            affected = daemon is None or row.daemon in {'', daemon}
            if affected and row.start <= until:
                until = max(until, row.end + RECOVERY_SECONDS)
        return until


def _find_highest(limits):
    """Return the highest limit, of which 0 is none."""
    found = list(limits)
    return 0 if 0 in found else max(found, default=0)
