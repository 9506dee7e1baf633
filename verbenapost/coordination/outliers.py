"""Ejection of targets that fail what they start."""

import dataclasses
import math
from collections import deque
from typing import final

from verbenapost.coordination.suspects import Suspects
from verbenapost.protocol.slots import Verdict

#: Ends of runs that are kept per target.
HISTORY = 20

#: Failed runs, of distinct jobs, from which a target may be ejected.
MIN_FAILURES = 5

#: Part of the runs that fail at an outlier.
FAILED_PART = 0.5

#: Part of the pool that may be ejected together.
MAX_EJECTED_PART = 0.34

#: Seconds of the first ejection; each further one lasts twice as long.
FIRST_EJECTION = 5.0

#: Seconds that an ejection lasts at most.
LONGEST_EJECTION = 120.0

#: Seconds for which a target that refused a connection gets no work.
REFUSED_HOLD = 1.0

#: Seconds in which a target comes back to all of its slots.
SLOW_START = 10.0

#: Seconds between two steps of the slow start.
RAMP_STEP = 0.1


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RunEnd:
    """How a run ended at a target.

    :param kind: kind of work.
    :param job: identity of the request or job.
    :param verdict: how it ended.
    """

    kind: str
    job: str
    verdict: Verdict


@final
class Health:
    """What is known of the soundness of one target."""

    def __init__(self) -> None:
        self.ejections = 0
        self.held_until = -math.inf
        self.ejected = False
        self.probing = False
        self.ramp_from = -math.inf
        self._ends: deque[RunEnd] = deque(maxlen=HISTORY)

    def limit(self, now: float, slots: int) -> int:
        """Return how many of the slots may be used."""
        if now < self.held_until:
            return 0
        if self.probing:
            return min(slots, 1)
        ramped = max(now - self.ramp_from, 0) / SLOW_START
        if ramped >= 1:
            return slots
        return min(slots, 1 + int((slots - 1) * ramped))

    def find_change(self, now: float) -> float:
        """Return the time up to which the limit is the same."""
        if now < self.held_until:
            return self.held_until
        if self.probing or now >= self.ramp_from + SLOW_START:
            return math.inf
        return now + RAMP_STEP

    def hold(self, now: float, seconds: float) -> None:
        """Give the target no work for a time, then probe it."""
        self.held_until = max(self.held_until, now + seconds)
        self.probing = True
        self._ends.clear()

    def eject(self, now: float) -> None:
        """Hold the target for a time that doubles with each ejection."""
        seconds = FIRST_EJECTION * 2**self.ejections
        self.ejections = min(self.ejections + 1, HISTORY)
        self.ejected = True
        self.hold(now, min(seconds, LONGEST_EJECTION))

    def recover(self, now: float) -> None:
        """Start the slow way back after a whole answer to a probe."""
        self.probing = False
        self.ejected = False
        self.ramp_from = now

    def reinstate(self) -> None:
        """Undo an ejection that the target was not to blame for."""
        self.held_until = -math.inf
        self.probing = False
        self.ejected = False
        self.ejections = max(self.ejections - 1, 0)

    def note(self, end: RunEnd) -> None:
        """Keep the end of a run."""
        self._ends.append(end)
        if self.ejections and len(self._ends) == HISTORY:
            failed = any(row.verdict is Verdict.FAILED for row in self._ends)
            self.ejections *= failed

    def is_outlier(self, suspects: Suspects) -> bool:
        """Tell whether the target fails what others can run."""
        failures = self._failures(suspects)
        jobs = {end.job for end in failures}
        enough = len(jobs) >= MIN_FAILURES
        return enough and len(failures) >= FAILED_PART * len(self._ends)

    def _failures(self, suspects: Suspects) -> list[RunEnd]:
        failed = [end for end in self._ends if end.verdict is Verdict.FAILED]
        return [
            end
            for end in failed
            if not suspects.is_faulty(end.kind)
            and not suspects.is_unable(end.job, frozenset())
        ]


@final
class Outliers:
    """Ejects targets on outcome, up to a part of the pool.

    Examples
    ========

    >>> outliers = Outliers()
    >>> for name in ('vm-1', 'vm-2', 'vm-3'):
    ...     outliers.add(name)
    >>> for job in range(5):
    ...     end = RunEnd('visit', str(job), Verdict.FAILED)
    ...     outliers.record(0, 'vm-1', end)
    >>> outliers.limit(0, 'vm-1', 8), outliers.limit(0, 'vm-2', 8)
    (0, 8)
    """

    def __init__(self) -> None:
        self.suspects = Suspects()
        self.version = 0
        self._health: dict[str, Health] = {}

    @property
    def ejected(self) -> frozenset[str]:
        """Return the names of ejected targets, probed ones included."""
        return frozenset(
            name for name, health in self._health.items() if health.ejected
        )

    def add(self, target: str) -> None:
        """Watch a target."""
        self._health.setdefault(target, Health())

    def drop(self, target: str) -> None:
        """Forget a target."""
        self._health.pop(target, None)

    def limit(self, now: float, target: str, slots: int) -> int:
        """Return how many slots of a target may be used now."""
        return self._health[target].limit(now, slots)

    def find_change(self, now: float) -> float:
        """Return the time up to which all limits are the same."""
        changes = (health.find_change(now) for health in self._health.values())
        return min(changes, default=math.inf)

    def record(self, now: float, target: str, end: RunEnd) -> None:
        """Judge a target by the end of a run."""
        health = self._health.get(target)
        if health is None or end.verdict is Verdict.CANCELLED:
            return
        if health.probing or end.verdict is not Verdict.OK:
            self.version += 1
        if end.verdict is Verdict.REFUSED:
            health.hold(now, REFUSED_HOLD)
            return
        failed = end.verdict is Verdict.FAILED
        self.suspects.record(now, target, end.kind, end.job, failed=failed)
        health.note(end)
        if not failed:
            self._praise(now, health)
        elif not self._excuse(end):
            self._blame(now, health)

    def _praise(self, now: float, health: Health) -> None:
        if health.probing and now >= health.held_until:
            health.recover(now)

    def _blame(self, now: float, health: Health) -> None:
        if now < health.held_until:
            return
        if health.probing or health.is_outlier(self.suspects):
            self._eject(now, health)

    def _eject(self, now: float, health: Health) -> None:
        others = len(self.ejected) - health.ejected
        if others + 1 <= MAX_EJECTED_PART * len(self._health):
            health.eject(now)

    def _excuse(self, end: RunEnd) -> bool:
        """Tell whether the work is to blame; reinstate whom it hurt."""
        if self.suspects.is_faulty(end.kind):
            for health in self._health.values():
                if health.ejected:
                    health.reinstate()
            return True
        return self.suspects.is_unable(end.job, self.ejected)
