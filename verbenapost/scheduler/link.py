"""The link to one worker: its leases and reports."""

import asyncio
import dataclasses
from typing import Any, Final

from result import Err, Result

from verbenapost.coordination.scheduling.crashes import (
    CrashVerdict,
    note_lapse,
)
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.daemon.timers import read_clock
from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.scheduler.incarnation import Incarnation
from verbenapost.scheduler.ports import LinkPorts
from verbenapost.scheduler.runorders import RunOrders
from verbenapost.scheduler.unconfirmedentry import UnconfirmedEntry
from verbenapost.scheduler.workercrashes import WorkerCrashes
from verbenapost.scheduler.workerreports import WorkerReports
from verbenapost.state.workloads import WorkerEntry

#: Seconds that a worker may wait for an ended run before it answers. Leases
#: are renewed at this interval and have to outlast a change of the leader.
IDLE_POLL_SECONDS: Final = 1.5

#: The same, while the worker runs short tasks or tasks with a response time
#: target. A lost answer delays the report of ended runs by this time, and the
#: worker updates its figures every 0.5 s.
ACTIVE_POLL_SECONDS: Final = 0.5

#: Seconds between two attempts to reach a worker.
RETRY_SECONDS: Final = 0.25


class WorkerLink:
    """Renews the leases of one worker and reads its reports.

    :param worker: the worker, as listed in the state of its pool.
    :param pool_state: state of the worker's pool.
    :param ports: dependencies of the link.
    :ivar ended: whether the incarnation has ended.
    :ivar maintained_at: local seconds at which the maintenance of the worker's
        VM was confirmed, until a later list of VMs shows whether it has ended
        this incarnation.
    :ivar incarnation: the incarnation that is followed.
    :ivar unconfirmed: entry of an incarnation for the worker to confirm.
    :ivar orders: sends starts and stops to the worker.
    """

    def __init__(
        self, worker: Worker, pool_state: PoolState, ports: LinkPorts
    ) -> None:
        self.ended = False
        self.maintained_at: float | None = None
        self.worker = worker
        # The previous leader may have granted leases until it was replaced.
        self.incarnation = Incarnation(
            worker.entry.started_at_ms, read_clock(), ports.hold_seconds
        )
        self.unconfirmed = UnconfirmedEntry(self)
        self.pool_state = pool_state
        self.ports = ports
        self.orders = RunOrders(self)
        self._reports = WorkerReports(self)
        self._crashes = WorkerCrashes(worker, pool_state, ports)
        # A worker that doesn't answer gets no further lease, since its leases
        # have to expire before its tasks may start elsewhere.
        self._answered = True

    @property
    def name(self) -> str:
        """Identity of the worker."""
        return self.worker.entry.worker

    async def run(self) -> None:
        """Renew the leases until the task is cancelled or the worker ends."""
        while not self.ended:
            if not await self.renew_leases(self._choose_wait()):
                await self.unconfirmed.check()
                await asyncio.sleep(RETRY_SECONDS)

    async def renew_leases(self, wait: float) -> bool:
        """Renew the leases and apply the worker's report.

        Nothing is sent without the leadership's lease: a successor counts the
        worker's leases as lapsed by the time of its own takeover.

        :param wait: seconds that the worker may wait for an ended run.
        :returns: whether the worker answered or its incarnation has ended.
        """
        if not self.ports.election.holds_lease():
            return False
        sent_at = read_clock()
        clock = self.incarnation.clock
        deadline = None
        if clock.known and self._answered:
            deadline = clock.make_deadline(
                sent_at, self.ports.hold_seconds, latest=True
            )
            clock.note_lease(deadline)
        entry = self.worker.entry
        answer = await self.ports.client.hold(
            entry,
            self.ports.election.token,
            self._choose_acknowledged(sent_at),
            deadline,
            wait,
        )
        self.count_call('hold', answer)
        if self.ended:
            # The incarnation ended during the call and its tasks are already
            # freed, so the answer is ignored.
            return True
        self._answered = not isinstance(answer, Err)
        if isinstance(answer, Err):
            self._note_unreachable(answer.err_value, entry)
            return False
        await self._reports.apply(answer.ok_value, sent_at)
        return True

    def is_same_incarnation(self, entry: WorkerEntry) -> bool:
        """Return whether an entry is of this link's incarnation."""
        return (entry.started_at_ms, entry.service) == (
            self.incarnation.started_at_ms,
            self.worker.entry.service,
        )

    def update(self, entry: WorkerEntry) -> None:
        """Apply a newer entry of the same incarnation."""
        known = self.worker.entry
        self.worker.entry = entry
        self.worker.listed = True
        self.unconfirmed.drop()
        if entry.draining != known.draining:
            self.ports.log.info(
                'worker draining changed',
                worker=self.name,
                draining=entry.draining,
            )

    def is_lapsed(self) -> bool:
        """Return whether a worker that doesn't answer has no lease left."""
        return not self.worker.reachable and self.incarnation.clock.is_lapsed(
            read_clock()
        )

    def unlist(self) -> None:
        """Record that the entry was removed; the worker's runs go on."""
        if self.worker.listed:
            self.worker.listed = False
            self.ports.log.info('worker entry removed', worker=self.name)

    def restart(self, started_at_ms: int) -> None:
        """Follow the worker's next incarnation, which has the same identity.

        Runs that the former incarnation has listed have ended with it. Others
        stay booked until the next one reports, since their starts may have
        reached it; what the former one was told to stop, it doesn't know.
        Nothing else is started there before its entry shows its capacity.

        :param started_at_ms: start of the incarnation in Unix milliseconds.
        """
        now = read_clock()
        worker = self.worker
        verdict = self._crashes.note()
        lost = [task for task in worker.tasks.values() if task.proven]
        for task in lost:
            self.pool_state.free_task(task)
        worker.clear_unbooked()
        worker.forget_stops()
        self.ports.log.warning(
            'worker restarted',
            worker=self.name,
            tasks=len(lost),
            suspects=len(verdict.suspects),
        )
        self.incarnation = Incarnation(
            started_at_ms, now, self.ports.hold_seconds
        )
        worker.entry = dataclasses.replace(
            worker.entry, started_at_ms=started_at_ms
        )
        worker.reconciled = False
        worker.listed = False
        newer = self.unconfirmed.entry
        if newer is not None and self.is_same_incarnation(newer):
            self.update(newer)
        self._crashes.judge(verdict)

    def end_incarnation(self, reason: str, *, crashed: bool = False) -> None:
        """End the incarnation and free its tasks.

        :param reason: reason for the log.
        :param crashed: whether the worker ended without an order, so that one
            of its runs may have caused that.
        """
        worker = self.worker
        late = self.ended
        if late and not (crashed and worker.lapsed_runs):
            return
        self.ended = True
        verdict = self._crashes.note() if crashed else CrashVerdict()
        lost = [] if late else self.pool_state.remove_worker(self.name)
        self.ports.log.warning(
            'worker lost',
            worker=self.name,
            reason=reason,
            tasks=len(lost),
            suspects=len(verdict.suspects),
        )
        self._crashes.judge(verdict)
        self.ports.wake()

    def count_call(self, kind: str, answer: Result[Any, CallFault]) -> None:
        """Count a call to the worker by its kind and outcome."""
        outcome = 'ok'
        if isinstance(answer, Err):
            outcome = answer.err_value.kind.value
        self.ports.metrics.orders.inc({'kind': kind, 'outcome': outcome})

    def handle_final_fault(self, fault: CallFault, asked: WorkerEntry) -> bool:
        """Handle a fault that ends the leadership or the incarnation.

        :param fault: the fault.
        :param asked: entry of the worker to which the call was sent.
        :returns: whether the fault is of this kind.
        """
        if fault.kind is CallFaultKind.FENCED:
            self.ports.election.lose('a worker has seen a higher token')
            return True
        if fault.kind is not CallFaultKind.OTHER_INCARNATION:
            return False
        if _locate(asked) == _locate(self.worker.entry):
            self.end_incarnation('another incarnation answers', crashed=True)
        return True

    def _choose_acknowledged(self, now: float) -> int:
        """Return the number of the last ended run that is stored.

        A worker may have started again under its identity since it was last
        heard of. It numbers the ends of its runs anew, and would forget those
        that nobody has read; so such a worker is first asked for all of them.
        """
        watched = self._answered and self.incarnation.is_watched(now)
        return self.incarnation.ends.acknowledged if watched else 0

    def _choose_wait(self) -> float:
        worker = self.worker
        if not worker.reconciled:
            return 0
        short = any(not row.step.long_running for row in worker.tasks.values())
        return (
            ACTIVE_POLL_SECONDS
            if short or worker.has_serving_tasks()
            else IDLE_POLL_SECONDS
        )

    def _note_unreachable(self, fault: CallFault, asked: WorkerEntry) -> None:
        if self.handle_final_fault(fault, asked):
            return
        worker = self.worker
        if worker.reachable:
            self.ports.log.warning(
                'worker not reached',
                worker=self.name,
                fault=fault.kind.value,
                detail=fault.detail,
            )
        worker.reachable = False
        if not self.incarnation.clock.is_lapsed(read_clock()):
            return
        note_lapse(worker)
        if worker.listed:
            self._free_lapsed_tasks()
        else:
            self.end_incarnation('its leases expired and its entry was removed')

    def _free_lapsed_tasks(self) -> None:
        lost = self.pool_state.free_tasks(self.worker)
        if lost:
            self.ports.log.warning(
                'leases lapsed', worker=self.name, tasks=len(lost)
            )
            self.ports.wake()


def _locate(entry: WorkerEntry) -> tuple[int, str]:
    """Return the incarnation and the address that an entry names."""
    return entry.started_at_ms, entry.address
