"""Detection of images that slow each other down on one worker.

Load pattern: tasks on one worker share more than their declared sizes show. A
best-effort or serving task slows the serving and short tasks beside it by
amounts that differ by image and change within seconds.
"""

import math
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

from verbenapost.coordination.quotas import TokenBucket
from verbenapost.coordination.scheduling.interferenceevidence import (
    EvidenceTable,
)
from verbenapost.coordination.scheduling.interferencefindings import (
    FindingChange,
    FindingEnd,
    Findings,
)
from verbenapost.coordination.scheduling.interferencepairs import (
    PairKey,
    PairSamples,
    is_slower,
)
from verbenapost.coordination.scheduling.partners import NO_PARTNERS, Partners
from verbenapost.coordination.scheduling.slowdowns import (
    FIGURE_SECONDS,
    Slowdown,
    VictimKey,
    is_full,
    list_ended,
    list_serving,
)
from verbenapost.coordination.scheduling.workerhistories import (
    WorkerHistories,
    WorkerHistory,
)
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.protocol.orders import RunEnd, WorkerReport

#: Ratio to the same image elsewhere from which a single observation is slow.
SLOW_RATIO: Final = 1.3

#: Weight of observations without a harmful neighbour from which a single
#: observation can be compared with them.
MIN_BASELINE_WEIGHT: Final = 3.0

#: Seconds between two reports of a worker above which the ends of its runs may
#: have been reported late.
MAX_REPORT_GAP: Final = 2.0

#: Reports with named images that are observed per second; others are skipped,
#: so that the reports of a large fleet leave the leader its time for planning.
REPORTS_PER_SECOND: Final = 600


class Interference:
    """Evidence by pair of images, and the findings that it supports.

    Explanation
    ===========

    A victim beside an aggressor is compared with the same victim without it,
    over the same time, so that load that rises everywhere doesn't count. While
    a pair is a finding, what its victim shows beside this aggressor counts
    neither for nor against any other image.

    :ivar observations: number of observations that were used.
    :ivar avoided: number of tasks that were placed apart from a partner.
    :ivar findings: the findings.
    :ivar evidence: observations of victims and of pairs that are no findings.
    """

    def __init__(self) -> None:
        self.observations = 0
        self.avoided = 0
        self.findings = Findings()
        self.evidence = EvidenceTable()
        self._histories = WorkerHistories()
        self._budget = TokenBucket(0, REPORTS_PER_SECOND, REPORTS_PER_SECOND)

    def count_workers(self) -> int:
        """Return the number of workers that are remembered."""
        return len(self._histories)

    def find_partners(self, service: str, image: str) -> Partners:
        """Return the images of a pool beside which an image is not placed."""
        images = self.findings.find_partners(service, image)
        return Partners(images, self._note_avoided) if images else NO_PARTNERS

    def observe(
        self,
        worker: Worker,
        report: WorkerReport,
        ends: Sequence[RunEnd],
        first_run: int,
        now: float,
    ) -> list[FindingChange]:
        """Use a worker's report and return the findings that change.

        :param worker: the worker, to which the report is not applied yet.
        :param report: the report.
        :param ends: run ends that were not applied before.
        :param first_run: lowest run number of this leader.
        :param now: local seconds.
        """
        changes = self._end_expired(now)
        if not any(task.step.image for task in worker.tasks.values()):
            return changes
        entry = worker.entry
        history = self._histories.find(entry.worker, entry.started_at_ms, now)
        late = now - history.reported_at > MAX_REPORT_GAP
        history.reported_at = now
        if self._budget.take(now):
            return changes
        slowdowns = [
            *_list_serving(worker, report, history, now),
            *_list_ended(worker, () if late else ends, first_run, history, now),
        ]
        if is_full(worker):
            return changes
        for slowdown in slowdowns:
            self._compare(slowdown, history, now)
        if history.is_slow(now):
            return changes
        for slowdown in slowdowns:
            changes.extend(self._add(slowdown, entry.worker, history, now))
        return changes

    def _note_avoided(self) -> None:
        """Count a task that was placed apart from a partner of a finding."""
        self.avoided += 1

    def _compare(
        self, slowdown: Slowdown, history: WorkerHistory, now: float
    ) -> None:
        """Record whether an image is slower on a worker than elsewhere."""
        baseline = self.evidence.touch_baseline(slowdown.victim, now)
        if baseline.total.weight >= MIN_BASELINE_WEIGHT:
            excess = slowdown.measure - baseline.total.mean
            history.note(
                slowdown.victim, now, slow=excess >= math.log(SLOW_RATIO)
            )

    def _add(
        self,
        slowdown: Slowdown,
        worker: str,
        history: WorkerHistory,
        now: float,
    ) -> Iterator[FindingChange]:
        self.observations += 1
        victim = slowdown.victim
        harmful = slowdown.neighbours & self.findings.find_aggressors(victim)
        if len(harmful) > 1:
            return
        baseline = self.evidence.touch_baseline(victim, now)
        if not harmful:
            baseline.add(worker, slowdown.measure, now)
        pairs = self._find_pairs(victim, harmful or slowdown.neighbours, now)
        for samples in pairs.values():
            samples.samples.add(worker, slowdown.measure, now)
            if history.is_only_slow(victim, now):
                samples.note_separated(now)
        suspects = [
            (-pair.samples.total.mean, key)
            for key, pair in pairs.items()
            if harmful or is_slower(pair.samples.total, baseline.total)
        ]
        # A bystander is less often beside a slow victim than the aggressor.
        for _mean, suspect in sorted(suspects):
            yield from self._judge(suspect, pairs[suspect], now)

    def _find_pairs(
        self, victim: VictimKey, images: Iterable[str], now: float
    ) -> dict[PairKey, PairSamples]:
        keys = [
            PairKey(victim.service, victim.image, image, victim.serving)
            for image in images
        ]
        return {
            key: self.findings.pairs.get(key)
            or self.evidence.touch_pair(key, now)
            for key in keys
        }

    def _judge(
        self, key: PairKey, pair: PairSamples, now: float
    ) -> Iterator[FindingChange]:
        found = key in self.findings.pairs
        evidence = self.evidence.weigh(key, pair, now)
        if found and evidence.harmless:
            yield self._end(key, FindingEnd.REFUTED, now)
        elif found and evidence.harmful:
            pair.confirm(now)
        elif evidence.harmful and self.findings.begin(key, pair, now):
            self.evidence.separate(key, now)
            yield FindingChange(key, evidence)

    def _end(self, key: PairKey, end: FindingEnd, now: float) -> FindingChange:
        evidence = self.evidence.weigh(key, self.findings.pairs[key], now)
        pair = self.findings.end(key, end, now)
        self.evidence.store_pair(key, pair)
        return FindingChange(key, evidence, now - pair.found_at, end)

    def _end_expired(self, now: float) -> list[FindingChange]:
        return [
            self._end(key, FindingEnd.EXPIRED, now)
            for key in self.findings.list_expired(now)
        ]


def _list_serving(
    worker: Worker, report: WorkerReport, history: WorkerHistory, now: float
) -> Iterator[Slowdown]:
    if now - history.figures_at >= FIGURE_SECONDS:
        history.figures_at = now
        yield from list_serving(worker, report, now)


def _list_ended(
    worker: Worker,
    ends: Sequence[RunEnd],
    first_run: int,
    history: WorkerHistory,
    now: float,
) -> Iterator[Slowdown]:
    for slowdown in list_ended(worker, ends, first_run, now):
        # The first run of an image on a worker fetches the image.
        if history.warm(slowdown.victim.image):
            yield slowdown
