"""Jobs and kinds of work that fail on every target."""

from collections import OrderedDict, defaultdict
from collections.abc import Set as AbstractSet
from typing import final

#: Distinct targets on which a job has to fail to count as unable to run.
DISTINCT_TARGETS = 3

#: Share of the tried targets on which most runs of a faulty kind fail.
FAULTY_SHARE = 0.8

#: Seconds between two halvings of the run counts by kind.
HALVING_INTERVAL = 15.0

#: Failed jobs whose targets are kept.
MAX_FAILED_JOBS = 4096


@final
class _RunCounts:
    """Successful and failed runs of one kind of work on one target."""

    def __init__(self) -> None:
        self.succeeded: float = 0
        self.failed: float = 0

    def halve(self) -> None:
        self.succeeded /= 2
        self.failed /= 2


@final
class FailureClassifier:
    """Distinguishes faulty jobs and kinds of work from faulty targets.

    Explanation
    ===========

    A job is unable to run if it failed on ``DISTINCT_TARGETS`` targets, not
    counting ejected ones. A kind of work is faulty if most of its runs fail
    on nearly all targets that tried it. In neither case do the failures count
    against a target.

    Examples
    ========

    >>> classifier = FailureClassifier()
    >>> for name in ('vm-1', 'vm-2', 'vm-3'):
    ...     classifier.record(0, name, 'tack', 'job-1', failed=True)
    >>> classifier.is_unable('job-1', set()), classifier.is_faulty('tack')
    (True, True)
    """

    def __init__(self) -> None:
        self._jobs: OrderedDict[str, set[str]] = OrderedDict()
        self._kinds: dict[str, dict[str, _RunCounts]] = {}
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
        counts_by_target = self._kinds.setdefault(kind, defaultdict(_RunCounts))
        if failed:
            counts_by_target[target].failed += 1
            self._record_job(job, target)
        else:
            counts_by_target[target].succeeded += 1
            self._jobs.pop(job, None)

    def is_unable(self, job: str, ejected: AbstractSet[str]) -> bool:
        """Return whether a job failed on ``DISTINCT_TARGETS`` targets or more.

        :param job: job identifier.
        :param ejected: ejected targets, which are not counted.
        """
        return len(self._jobs.get(job, set()) - ejected) >= DISTINCT_TARGETS

    def is_faulty(self, kind: str) -> bool:
        """Return whether a kind of work fails on nearly all targets."""
        counts_by_target = self._kinds.get(kind, {}).values()
        tried = [
            counts
            for counts in counts_by_target
            if counts.succeeded + counts.failed >= 1
        ]
        failing = sum(counts.failed > counts.succeeded for counts in tried)
        enough = failing >= DISTINCT_TARGETS
        return enough and failing >= FAULTY_SHARE * len(tried)

    def _record_job(self, job: str, target: str) -> None:
        self._jobs.setdefault(job, set()).add(target)
        self._jobs.move_to_end(job)
        if len(self._jobs) > MAX_FAILED_JOBS:
            self._jobs.popitem(last=False)

    def _halve(self, now: float) -> None:
        if now - self._halved_at < HALVING_INTERVAL:
            return
        self._halved_at = now
        for counts_by_target in self._kinds.values():
            for counts in counts_by_target.values():
                counts.halve()
