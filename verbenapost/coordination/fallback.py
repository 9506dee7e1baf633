"""Use of static slot shares while a queue has no ready owner."""

from collections.abc import Collection, Iterable, Mapping
from typing import final

from verbenapost.coordination.staticshares import StaticShares
from verbenapost.coordination.targets import Target
from verbenapost.protocol.slots import GrantSlot, RequestReport, SlotRequest

#: Seconds for which a request waits for an owner that is taking over.
TAKEOVER_WAIT = 0.3

#: Grant number that marks a grant from the static share of an entry.
STATIC_SHARE_GRANT = 0

#: Expiry of grants from the static share, in seconds; 0 means no expiry.
_NO_EXPIRY = 0


@final
class OwnerState:
    """State of the owner of one queue, as known to an entry.

    ``report_requested_at`` is the time at which the current owner requested
    a report, ``None`` before. ``has_unreported_grant`` tells whether a
    grant from the static share must still be reported.

    :param shares: slots that the entry may use without an owner.
    """

    def __init__(self, shares: StaticShares) -> None:
        self.shares = shares
        self.owner: str | None = None
        self.epoch = 0
        self.ready = False
        self.report_requested_at: float | None = None
        self.has_unreported_grant = False

    def set_owner(self, owner: str | None) -> None:
        """Set the current owner; a new owner is not ready."""
        if owner != self.owner:
            self.owner = owner
            self.reset()

    def reset(self) -> None:
        """Treat the owner as not ready and as not having requested a report."""
        self.ready = False
        self.report_requested_at = None

    def may_use_static_share(self, now: float, requested_at: float) -> bool:
        """Return whether a request may use the static share of the entry.

        :param requested_at: time of the request, monotonic seconds.
        """
        if self.ready:
            return False
        if self.report_requested_at is None:
            return True
        return (
            now - max(self.report_requested_at, requested_at) >= TAKEOVER_WAIT
        )


@final
class Fallback:
    """Static shares of all services and the rules for their use.

    Explanation
    ===========

    An owner is ready once it has sent ``QueueReady`` or a grant. Entries use
    their static shares at once until a new owner has requested a report.
    After that a request first waits ``TAKEOVER_WAIT`` seconds for the owner,
    which is expected to answer soon.

    :param name: name of this daemon.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._members: tuple[str, ...] = (name,)
        self._states: dict[str, OwnerState] = {}

    def get(self, service: str) -> OwnerState:
        """Return the state of a service; create a missing one."""
        state = self._states.get(service)
        if state is None:
            state = OwnerState(StaticShares(self._name))
            state.shares.set_members(self._members)
            self._states[service] = state
        return state

    def list_states(self) -> Iterable[tuple[str, OwnerState]]:
        """Return the known services and their states."""
        return self._states.items()

    def set_members(self, members: Collection[str]) -> None:
        """Replace the live members that share the slots."""
        self._members = tuple(members)
        for state in self._states.values():
            state.shares.set_members(members)

    def set_targets(self, targets: Mapping[str, Iterable[Target]]) -> None:
        """Replace the targets of every service."""
        for service in targets:
            self.get(service)
        for service, state in self._states.items():
            state.shares.set_targets(targets.get(service, ()))

    def mark_leaving(self, target: str) -> None:
        """Stop using a target that is leaving."""
        for state in self._states.values():
            state.shares.mark_leaving(target)

    def mark_owner_unreachable(self, owner: str) -> None:
        """Record that an owner can not be reached."""
        for state in self._states.values():
            if state.owner == owner:
                state.reset()

    def accept_report_request(
        self, now: float, sender: str, request: RequestReport
    ) -> bool:
        """Record that an owner requested a report.

        :returns: ``False`` if the sender is an earlier owner, whose request
            is ignored.
        """
        state = self.get(request.service)
        if request.owner_epoch < state.epoch and sender != state.owner:
            return False
        if (
            request.owner_epoch != state.epoch
            or state.report_requested_at is None
        ):
            state.epoch = request.owner_epoch
            state.ready = False
            state.report_requested_at = now
        return True

    def is_stale(self, sender: str, grant: GrantSlot) -> bool:
        """Return whether a grant comes from an owner that was replaced."""
        state = self.get(grant.service)
        if grant.owner_epoch < state.epoch:
            return True
        newer = state.epoch and grant.owner_epoch > state.epoch
        return bool(newer) and sender != state.owner

    def mark_ready(self, sender: str, service: str, epoch: int) -> None:
        """Record that an owner is ready; other senders are ignored."""
        state = self.get(service)
        if sender == state.owner and epoch >= state.epoch:
            state.epoch = epoch
            state.ready = True

    def grant(
        self,
        now: float,
        slot_request: SlotRequest,
        requested_at: float,
    ) -> GrantSlot | None:
        """Grant a slot of the static share if that is allowed.

        :param requested_at: time of the request, monotonic seconds.
        :returns: the grant, or ``None``.
        """
        state = self.get(slot_request.service)
        if not state.may_use_static_share(now, requested_at):
            return None
        target = state.shares.acquire(slot_request.avoid)
        if target is None:
            return None
        state.has_unreported_grant = True
        return GrantSlot(
            slot_request.slot_request_id,
            STATIC_SHARE_GRANT,
            target.name,
            target.address,
            _NO_EXPIRY,
            slot_request.service,
        )
