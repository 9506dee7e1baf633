"""Jobs and kinds of work that fail wherever they run."""

from collections import OrderedDict, defaultdict
from collections.abc import Set as AbstractSet
from typing import final

#: Distinct targets on which a job fails before it is set aside.
DISTINCT_TARGETS = 3

#: Part of the tried targets on which a faulty kind mostly fails.
FAULTY_PART = 0.8

#: Seconds after which the counts of kinds are halved.
HALVING_TIME = 15.0

#: Failed jobs that are remembered.
MAX_JOBS = 4096


@final
class _Tally:
    """Whole and failed runs of one kind at one target."""

    def __init__(self) -> None:
        self.whole: float = 0
        self.failed: float = 0

    def halve(self) -> None:
        self.whole /= 2
        self.failed /= 2


@final
class Suspects:
    """Tells a bad job or kind of work from a bad target.

    Explanation
    ===========

    A job that failed on ``DISTINCT_TARGETS`` targets, those not counted that
    are themselves ejected, is unable to run. A kind that mostly fails on
    nearly all of the targets that tried it is faulty. Neither is held
    against a target.

    Examples
    ========

    >>> suspects = Suspects()
    >>> for name in ('vm-1', 'vm-2', 'vm-3'):
    ...     suspects.record(0, name, 'tack', 'job-1', failed=True)
    >>> suspects.is_unable('job-1', set()), suspects.is_faulty('tack')
    (True, True)
    """

    def __init__(self) -> None:
        self._jobs: OrderedDict[str, set[str]] = OrderedDict()
        self._kinds: dict[str, dict[str, _Tally]] = {}
        self._halved_at: float = 0

    def record(
        self,
        now: float,
        target: str,
        kind: str,
        job: str,
        *,
        failed: bool,
    ) -> None:
        """Count the end of a run."""
        self._halve(now)
        tallies = self._kinds.setdefault(kind, defaultdict(_Tally))
        if failed:
            tallies[target].failed += 1
            self._record_job(job, target)
        else:
            tallies[target].whole += 1
            self._jobs.pop(job, None)

    def is_unable(self, job: str, ejected: AbstractSet[str]) -> bool:
        """Tell whether a job failed on several sound targets."""
        return len(self._jobs.get(job, set()) - ejected) >= DISTINCT_TARGETS

    def is_faulty(self, kind: str) -> bool:
        """Tell whether a kind fails on nearly all targets."""
        tallies = self._kinds.get(kind, {}).values()
        tried = [tally for tally in tallies if tally.whole + tally.failed >= 1]
        failing = sum(tally.failed > tally.whole for tally in tried)
        enough = failing >= DISTINCT_TARGETS
        return enough and failing >= FAULTY_PART * len(tried)

    def _record_job(self, job: str, target: str) -> None:
        self._jobs.setdefault(job, set()).add(target)
        self._jobs.move_to_end(job)
        if len(self._jobs) > MAX_JOBS:
            self._jobs.popitem(last=False)

    def _halve(self, now: float) -> None:
        if now - self._halved_at < HALVING_TIME:
            return
        self._halved_at = now
        for tallies in self._kinds.values():
            for tally in tallies.values():
                tally.halve()
