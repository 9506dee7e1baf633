"""Reports of one worker on its runs."""

import asyncio
from collections.abc import Sequence
from typing import Protocol

from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.reports import ReportReconciler
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.daemon.timers import read_clock
from verbenapost.protocol.orders import RunEnd, WorkerReport
from verbenapost.scheduler.incarnation import Incarnation
from verbenapost.scheduler.ports import LinkPorts
from verbenapost.scheduler.runorders import RunOrders
from verbenapost.scheduler.unconfirmedentry import UnconfirmedEntry


class ReportedLink(Protocol):
    """Link to the worker that reports.

    :ivar ended: whether the worker's incarnation has ended.
    :ivar incarnation: the worker's incarnation that is followed.
    :ivar unconfirmed: entry of an incarnation for the worker to confirm.
    :ivar worker: the worker.
    :ivar pool_state: state of the worker's pool.
    :ivar ports: dependencies of the link.
    :ivar orders: sends starts and stops to the worker.
    """

    ended: bool
    incarnation: Incarnation
    unconfirmed: UnconfirmedEntry
    worker: Worker
    pool_state: PoolState
    ports: LinkPorts
    orders: RunOrders

    @property
    def name(self) -> str:
        """Identity of the worker."""

    def restart(self, started_at_ms: int) -> None:
        """Follow the worker's next incarnation."""


class WorkerReports:
    """Applies the reports of a worker to the state of its pool.

    :param link: link to the worker.
    """

    def __init__(self, link: ReportedLink) -> None:
        self._link = link

    async def apply(self, report: WorkerReport, sent_at: float) -> None:
        """Apply a report.

        :param report: the report.
        :param sent_at: local seconds at which it was requested.
        """
        now = read_clock()
        if not self._follow(report, sent_at):
            return
        link = self._link
        incarnation = link.incarnation
        if report.clock < incarnation.last_report_clock:
            # A newer report arrived earlier, on another connection.
            return
        incarnation.last_report_clock = report.clock
        incarnation.note_reading(report.clock, sent_at)
        incarnation.clock.observe(report.clock, now, now)
        worker = link.worker
        if not worker.reachable:
            link.ports.log.info('worker reached', worker=link.name)
        worker.reachable = True
        worker.lapsed_runs = ()
        ends = incarnation.ends.filter_new(report.ends)
        self._log_ends(ends)
        if link.ports.interference is not None:
            link.ports.interference.observe(
                link.pool_state, worker, report, ends, now
            )
        reconciler = ReportReconciler(link.pool_state, worker, now)
        commands = reconciler.apply(report, ends, sent_at)
        worker.reconciled = worker.reconciled or report.complete
        # No await may come between the report and this line, since another
        # task could collect the changes.
        written = link.ports.recorder.mark_dirty(
            link.pool_state.pop_dirty_jobs()
        )
        link.ports.send(link.pool_state, commands)
        link.ports.wake()
        await link.orders.pace()
        await _store_ends(incarnation, ends, written)

    def _follow(self, report: WorkerReport, sent_at: float) -> bool:
        """Follow the incarnation that a report shows.

        :returns: whether the report is of the incarnation that is followed.
        """
        link = self._link
        started_at_ms = report.started_at_ms
        if started_at_ms in {None, link.incarnation.started_at_ms}:
            link.unconfirmed.refute(sent_at)
            return True
        if sent_at < link.incarnation.known_since:
            # The answer was given by an earlier incarnation.
            return False
        if not link.unconfirmed.follow(started_at_ms):
            link.restart(started_at_ms)
        return not link.ended

    def _log_ends(self, ends: Sequence[RunEnd]) -> None:
        for end in ends:
            self._link.ports.log.info(
                'run ended',
                job=end.task.job,
                task=end.task.position,
                run=end.run,
                worker=self._link.name,
                kind=end.kind.value,
                number=end.number,
            )


async def _store_ends(
    incarnation: Incarnation,
    ends: list[RunEnd],
    written: Sequence[asyncio.Future[bool]],
) -> None:
    """Acknowledge ended runs once the store has the resulting changes."""
    if ends and all(await asyncio.gather(*written)):
        incarnation.ends.note_stored(ends)
