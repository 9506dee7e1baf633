"""Detection of interference from workers' reports, with log and metrics."""

import math
from collections.abc import Sequence
from typing import Any, Final

from verbenapost.coordination.scheduling.interference import Interference
from verbenapost.coordination.scheduling.interferencefindings import (
    FindingChange,
)
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.protocol.orders import RunEnd, WorkerReport
from verbenapost.scheduler.metrics import SchedulerMetrics

#: Seconds between two updates of the metrics, which cost more than a report.
METRICS_SECONDS: Final = 1.0


class InterferenceWatch:
    """Feeds one leader's detection and reports what it finds.

    :param interference: the evidence and the findings.
    :param metrics: metrics of the daemon.
    :param log: logger.
    :ivar interference: the evidence and the findings.
    """

    def __init__(
        self, interference: Interference, metrics: SchedulerMetrics, log: Any
    ) -> None:
        self.interference = interference
        self._metrics = metrics
        self._log = log
        self._metrics_at = -math.inf
        # Counts that are in the metrics, which outlive a leader.
        self._observations = 0
        self._avoided = 0

    def observe(
        self,
        pool_state: PoolState,
        worker: Worker,
        report: WorkerReport,
        ends: Sequence[RunEnd],
        now: float,
    ) -> None:
        """Use a worker's report before it is applied.

        :param pool_state: state of the worker's pool.
        :param worker: the worker.
        :param report: the report.
        :param ends: run ends that were not applied before.
        :param now: local seconds.
        """
        changes = self.interference.observe(
            worker, report, ends, pool_state.first_run_number, now
        )
        for change in changes:
            self._log_change(change)
        if changes or now - self._metrics_at >= METRICS_SECONDS:
            self._metrics_at = now
            self._update_metrics()

    def close(self) -> None:
        """Show no findings any more, since this daemon no longer leads."""
        self._update_metrics()
        self._metrics.interference_findings.set({}, 0)

    def _update_metrics(self) -> None:
        interference = self.interference
        metrics = self._metrics
        metrics.interference_findings.set({}, len(interference.findings.pairs))
        metrics.interference_observations.add(
            {}, interference.observations - self._observations
        )
        self._observations = interference.observations
        metrics.interference_avoided.add(
            {}, interference.avoided - self._avoided
        )
        self._avoided = interference.avoided

    def _log_change(self, change: FindingChange) -> None:
        pair = change.pair
        evidence = change.evidence
        share = evidence.target_share
        fields = {
            'pool': pair.service,
            'victim': pair.victim,
            'aggressor': pair.aggressor,
            'measure': 'tail' if pair.serving else 'run time',
            'ratio': round(evidence.ratio, 2),
            'errors': round(evidence.errors, 1),
            'beside': round(evidence.weight, 1),
            'without': round(evidence.weight_without, 1),
            'target_share': None if share is None else round(share, 2),
            'workers': evidence.workers,
            'slow_workers': evidence.harmed_workers,
        }
        if change.end is None:
            self._log.info('found', **fields)
        else:
            self._log.info(
                'ended',
                reason=change.end.value,
                seconds=round(change.seconds, 1),
                **fields,
            )
