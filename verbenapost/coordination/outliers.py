"""Outlier detection: ejection of targets whose runs fail."""

import dataclasses
import math
from collections import deque
from typing import final

from verbenapost.coordination.failures import FailureClassifier
from verbenapost.protocol.slots import RunOutcome

#: Recent run ends that are kept per target.
HISTORY_LENGTH = 20

#: Distinct jobs that must have failed at a target to make it an outlier.
MIN_FAILURES = 5

#: Fraction of failed runs from which a target is an outlier.
MIN_FAILED_FRACTION = 0.5

#: Fraction of the targets that may be ejected at the same time.
MAX_EJECTED_FRACTION = 0.34

#: Seconds of the first ejection; each further ejection lasts twice as long.
FIRST_EJECTION = 5.0

#: Upper limit of the duration of an ejection, in seconds.
MAX_EJECTION = 120.0

#: Seconds without new runs after a target has refused a connection.
REFUSED_SUSPENSION = 1.0

#: Seconds over which a recovered target returns to all of its slots.
SLOW_START = 10.0

#: Seconds between two recalculations of a limit in the slow start.
RAMP_STEP = 0.1


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """End of a run at a target.

    :param kind: kind of work.
    :param job: identity of the request or job.
    :param outcome: outcome of the run.
    """

    kind: str
    job: str
    outcome: RunOutcome


@final
class TargetHealth:
    """Recent run ends and ejection state of one target."""

    def __init__(self) -> None:
        self.ejections = 0
        self.suspended_until = -math.inf
        self.ejected = False
        self.probing = False
        self.ramp_started_at = -math.inf
        self._ends: deque[RunEnd] = deque(maxlen=HISTORY_LENGTH)

    def get_limit(self, now: float, slots: int) -> int:
        """Return how many of the slots may be used now."""
        if now < self.suspended_until:
            return 0
        if self.probing:
            return min(slots, 1)
        ramped = max(now - self.ramp_started_at, 0) / SLOW_START
        if ramped >= 1:
            return slots
        return min(slots, 1 + int((slots - 1) * ramped))

    def find_next_change(self, now: float) -> float:
        """Return the time until which the limit stays the same."""
        if now < self.suspended_until:
            return self.suspended_until
        if self.probing or now >= self.ramp_started_at + SLOW_START:
            return math.inf
        return now + RAMP_STEP

    def suspend(self, now: float, seconds: float) -> None:
        """Start no runs for a time, then probe the target with one slot."""
        self.suspended_until = max(self.suspended_until, now + seconds)
        self.probing = True
        self._ends.clear()

    def eject(self, now: float) -> None:
        """Suspend the target for a time that doubles with each ejection."""
        seconds = FIRST_EJECTION * 2**self.ejections
        self.ejections = min(self.ejections + 1, HISTORY_LENGTH)
        self.ejected = True
        self.suspend(now, min(seconds, MAX_EJECTION))

    def start_ramp(self, now: float) -> None:
        """End the ejection after a successful probe and start the ramp."""
        self.probing = False
        self.ejected = False
        self.ramp_started_at = now

    def reinstate(self) -> None:
        """Undo an ejection that was not caused by a fault of the target."""
        self.suspended_until = -math.inf
        self.probing = False
        self.ejected = False
        self.ejections = max(self.ejections - 1, 0)

    def add_end(self, end: RunEnd) -> None:
        """Record a run end; a history without failures resets the ejections."""
        self._ends.append(end)
        if self.ejections and len(self._ends) == HISTORY_LENGTH:
            failed = any(
                run_end.outcome is RunOutcome.FAILED for run_end in self._ends
            )
            self.ejections *= failed

    def is_outlier(self, failure_classifier: FailureClassifier) -> bool:
        """Return whether the target fails runs that others can complete."""
        failures = self._list_failures(failure_classifier)
        jobs = {end.job for end in failures}
        enough = len(jobs) >= MIN_FAILURES
        return enough and len(failures) >= MIN_FAILED_FRACTION * len(self._ends)

    def _list_failures(
        self, failure_classifier: FailureClassifier
    ) -> list[RunEnd]:
        failed = [end for end in self._ends if end.outcome is RunOutcome.FAILED]
        return [
            end
            for end in failed
            if not failure_classifier.is_faulty(end.kind)
            and not failure_classifier.is_unable(end.job, frozenset())
        ]


@final
class Outliers:
    """Ejects targets by the outcomes of their runs.

    At most ``MAX_EJECTED_FRACTION`` of the targets are ejected at one time.

    Examples
    ========

    >>> outliers = Outliers()
    >>> for name in ('vm-1', 'vm-2', 'vm-3'):
    ...     outliers.add(name)
    >>> for job in range(5):
    ...     end = RunEnd('visit', str(job), RunOutcome.FAILED)
    ...     outliers.record(0, 'vm-1', end)
    >>> outliers.get_limit(0, 'vm-1', 8), outliers.get_limit(0, 'vm-2', 8)
    (0, 8)
    """

    def __init__(self) -> None:
        self.failure_classifier = FailureClassifier()
        self.version = 0
        self._health: dict[str, TargetHealth] = {}

    @property
    def ejected(self) -> frozenset[str]:
        """Return the names of ejected targets, including probed ones."""
        return frozenset(
            name for name, health in self._health.items() if health.ejected
        )

    def add(self, target: str) -> None:
        """Start to track a target."""
        self._health.setdefault(target, TargetHealth())

    def drop(self, target: str) -> None:
        """Stop tracking a target."""
        self._health.pop(target, None)

    def get_limit(self, now: float, target: str, slots: int) -> int:
        """Return how many slots of a target may be used now."""
        return self._health[target].get_limit(now, slots)

    def find_next_change(self, now: float) -> float:
        """Return the time until which all limits stay the same."""
        changes = (
            health.find_next_change(now) for health in self._health.values()
        )
        return min(changes, default=math.inf)

    def record(self, now: float, target: str, end: RunEnd) -> None:
        """Record the end of a run and update the state of its target."""
        health = self._health.get(target)
        if health is None or end.outcome is RunOutcome.CANCELLED:
            return
        if health.probing or end.outcome is not RunOutcome.OK:
            self.version += 1
        if end.outcome is RunOutcome.REFUSED:
            health.suspend(now, REFUSED_SUSPENSION)
            return
        failed = end.outcome is RunOutcome.FAILED
        self.failure_classifier.record(
            now, target, end.kind, end.job, failed=failed
        )
        health.add_end(end)
        if not failed:
            self._record_success(now, health)
        elif not self._is_work_at_fault(end):
            self._record_failure(now, health)

    def _record_success(self, now: float, health: TargetHealth) -> None:
        if health.probing and now >= health.suspended_until:
            health.start_ramp(now)

    def _record_failure(self, now: float, health: TargetHealth) -> None:
        if now < health.suspended_until:
            return
        if health.probing or health.is_outlier(self.failure_classifier):
            self._eject(now, health)

    def _eject(self, now: float, health: TargetHealth) -> None:
        others = len(self.ejected) - health.ejected
        if others + 1 <= MAX_EJECTED_FRACTION * len(self._health):
            health.eject(now)

    def _is_work_at_fault(self, end: RunEnd) -> bool:
        """Return whether the work and not the target caused a failure.

        Failures of a faulty kind may have caused earlier ejections, so all
        ejected targets are reinstated.
        """
        if self.failure_classifier.is_faulty(end.kind):
            for health in self._health.values():
                if health.ejected:
                    health.reinstate()
            return True
        return self.failure_classifier.is_unable(end.job, self.ejected)
