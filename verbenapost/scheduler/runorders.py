"""Orders to one worker: starts, stops and the speed of its runs."""

import asyncio
from typing import Any, Final, Protocol

from result import Err, Result

from verbenapost.coordination.scheduling.commands import StartTask, StopTask
from verbenapost.coordination.scheduling.pacing import pace_worker
from verbenapost.coordination.scheduling.poolstate import PoolState
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.daemon.timers import read_clock
from verbenapost.protocol.orders import CallFault, CallFaultKind, RunStart
from verbenapost.scheduler.incarnation import Incarnation
from verbenapost.scheduler.ports import LinkPorts
from verbenapost.scheduler.startups import follow_proofs, follow_startup
from verbenapost.state.workloads import WorkerEntry

#: Seconds within which a start has to reach its worker; the worker refuses a
#: start that arrives later.
START_DEADLINE_SECONDS: Final = 1.5

#: Seconds between two attempts to stop a run.
STOP_RETRY_SECONDS: Final = 0.3

#: Attempts to stop a run; after them the worker's next report shows whether
#: the run still has to be stopped.
STOP_ATTEMPTS: Final = 5


class OrderedLink(Protocol):
    """Link over which orders are sent.

    :ivar ended: whether the worker's incarnation has ended.
    :ivar incarnation: the worker's incarnation that is followed.
    :ivar worker: the worker.
    :ivar pool_state: state of the worker's pool.
    :ivar ports: dependencies of the link.
    """

    ended: bool
    incarnation: Incarnation
    worker: Worker
    pool_state: PoolState
    ports: LinkPorts

    @property
    def name(self) -> str:
        """Identity of the worker."""

    async def renew_leases(self, wait: float) -> bool:
        """Renew the leases and apply the worker's report."""

    def count_call(self, kind: str, answer: Result[Any, CallFault]) -> None:
        """Count a call by its outcome."""

    def handle_final_fault(self, fault: CallFault, asked: WorkerEntry) -> bool:
        """Handle a fault that ends the leadership or the incarnation."""


class RunOrders:
    """Sends starts, stops and speeds of runs to one worker.

    :param link: link to the worker.
    """

    def __init__(self, link: OrderedLink) -> None:
        self._link = link
        self._ports = link.ports
        self._pool_state = link.pool_state
        self._follows_proofs = False

    async def start(self, command: StartTask) -> None:
        """Send a start and record its outcome."""
        task = command.task
        entry = self._link.worker.entry
        incarnation = self._link.incarnation
        clock = incarnation.clock
        if not clock.known or not self._ports.election.holds_lease():
            self._fail_start(
                command, CallFault(CallFaultKind.NOT_DONE, 'not sent'), entry
            )
            return
        deadline = clock.make_deadline(read_clock(), START_DEADLINE_SECONDS)
        clock.note_lease(deadline)
        order = RunStart(
            task.key,
            command.run,
            command.payload,
            deadline,
            self._ports.election.token,
            task.checkpoint,
            command.ticket,
        )
        sent_at = read_clock()
        floor = incarnation.last_clock
        incarnation.begin_start()
        answer = await self._send_start(entry, order, sent_at)
        incarnation.end_start(answered=not _is_unknown(answer))
        if isinstance(answer, Err):
            self._fail_start(command, answer.err_value, entry)
            if _is_unknown(answer):
                await self._resolve_unknown_start(command)
            return
        now = read_clock()
        if incarnation.note_reading(answer.ok_value, sent_at, floor):
            clock.observe(answer.ok_value, sent_at, now)
        self._pool_state.note_started(task, command.run, now)
        await self._follow_proofs()
        await follow_startup(self._link, self._pool_state, task)

    async def stop(self, command: StopTask) -> None:
        """Send a stop until it is acknowledged, out of attempts or obsolete."""
        for _ in range(STOP_ATTEMPTS):
            if self._link.ended or not self._ports.election.holds_lease():
                return
            entry = self._link.worker.entry
            answer = await self._ports.client.stop(
                entry,
                command.task.key,
                command.run,
                self._ports.election.token,
            )
            self._link.count_call('stop', answer)
            if not isinstance(answer, Err):
                self._pool_state.note_stopped(
                    command.task, command.run, read_clock()
                )
                return
            if self._link.handle_final_fault(answer.err_value, entry):
                return
            await asyncio.sleep(STOP_RETRY_SECONDS)

    async def pace(self) -> None:
        """Limit the speed of the worker's runs as its load requires."""
        for order in pace_worker(self._link.worker):
            if not self._ports.election.holds_lease():
                return
            entry = self._link.worker.entry
            answer = await self._ports.client.pace(
                entry,
                order.task.key,
                order.run,
                order.pace,
                self._ports.election.token,
            )
            self._ports.log.info(
                'task paced',
                job=order.task.key.job,
                worker=self._link.name,
                percent=order.pace,
                outcome=str(answer.err()),
            )
            if isinstance(answer, Err):
                self._link.handle_final_fault(answer.err_value, entry)
            else:
                order.task.pace = order.pace

    async def _follow_proofs(self) -> None:
        """Request reports on suspect jobs, once for all their runs here."""
        if self._follows_proofs:
            return
        self._follows_proofs = True
        try:
            await follow_proofs(self._link, self._pool_state)
        finally:
            self._follows_proofs = False

    async def _send_start(
        self, entry: WorkerEntry, order: RunStart, sent_at: float
    ) -> Result[int, CallFault]:
        window = self._ports.window
        window.begin()
        try:
            answer = await self._ports.client.start(entry, order)
        finally:
            now = read_clock()
            window.end(now - sent_at, now)
        self._link.count_call('start', answer)
        self._ports.metrics.order_seconds.observe({}, now - sent_at)
        if window.is_exhausted(now):
            self._ports.wake()
        return answer

    async def _resolve_unknown_start(self, command: StartTask) -> None:
        """Stop a run whose start got no answer, then check whether it runs."""
        task = command.task
        task.stop_requested_at = read_clock()
        await self.stop(StopTask(self._link.name, task, command.run))
        if (
            task.stop_acknowledged
            and not self._link.ended
            and self._ports.election.holds_lease()
        ):
            await self._link.renew_leases(0)

    def _fail_start(
        self, command: StartTask, fault: CallFault, asked: WorkerEntry
    ) -> None:
        self._ports.log.info(
            'start not confirmed',
            job=command.task.key.job,
            task=command.task.key.position,
            run=command.run,
            worker=self._link.name,
            fault=fault.kind.value,
            detail=fault.detail,
        )
        self._pool_state.note_start_failed(
            command.task, command.run, fault.kind, read_clock()
        )
        self._link.handle_final_fault(fault, asked)
        self._ports.wake()


def _is_unknown(answer: Result[int, CallFault]) -> bool:
    """Return whether an order may still take effect."""
    fault = answer.err()
    return fault is not None and fault.kind is CallFaultKind.UNKNOWN
