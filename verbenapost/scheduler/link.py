"""Orders to one worker and its lists."""

import asyncio
import dataclasses
from collections.abc import Sequence
from typing import Any, Final

from result import Err, Result

from verbenapost.coordination.scheduling.board import Board
from verbenapost.coordination.scheduling.commands import (
    StartTask,
    StopTask,
)
from verbenapost.coordination.scheduling.ends import EndBook
from verbenapost.coordination.scheduling.leases import LeaseClock
from verbenapost.coordination.scheduling.pacing import pace_worker
from verbenapost.coordination.scheduling.reports import ReportReader
from verbenapost.coordination.scheduling.workers import Worker
from verbenapost.daemon.timers import read_clock
from verbenapost.protocol.orders import (
    CallFault,
    Fault,
    RunEnd,
    RunStart,
    WorkerReport,
)
from verbenapost.scheduler.ports import LinkPorts
from verbenapost.state.workloads import WorkerEntry

#: Seconds that a worker may wait for an end before it answers. Leases are
#: renewed as often, and have to outlast a change of the leader.
HOLD_WAIT: Final = 1.5

#: The same while tasks run there that end soon or whose response times have a
#: target: an answer that is lost hides their ends, and the worker renews its
#: figures every half second.
BUSY_WAIT: Final = 0.5

#: Seconds between two tries to reach a worker.
RETRY_SECONDS: Final = 0.25

#: Seconds within which a worker has to get a start; later it refuses it.
START_SECONDS: Final = 1.5

#: Seconds between two tries to stop a run.
STOP_RETRY_SECONDS: Final = 0.3

#: Tries to stop a run before the worker's next list decides.
STOP_TRIES: Final = 5


class WorkerLink:
    """Keeps the leases of one life of a worker and reads its lists.

    :param worker: the worker, on its board.
    :param board: the board of its pool.
    :param ports: what it needs.
    """

    def __init__(self, worker: Worker, board: Board, ports: LinkPorts) -> None:
        self.over = False
        self.clock = LeaseClock()
        self.worker = worker
        self._born = worker.entry.born
        self._board = board
        self._ports = ports
        self._ends = EndBook()
        self._last_clock = 0
        # A worker that doesn't answer gets no further lease: what it was
        # given before has to lapse before its tasks may start elsewhere.
        self._answered = True
        # The leader before may have sent leases until it was replaced.
        self.clock.note_unknown_lease(read_clock(), ports.hold_seconds)

    @property
    def name(self) -> str:
        """Identity of the worker."""
        return self.worker.entry.worker

    async def run(self) -> None:
        """Hold the worker until its life is over or the leadership is."""
        while not self.over:
            held = self._ports.election.holds() and await self.hold_once(
                self._choose_wait()
            )
            if not held:
                await asyncio.sleep(RETRY_SECONDS)

    async def hold_once(self, wait: float) -> bool:
        """Extend the leases, read the lists, and return whether it answered.

        :param wait: seconds that the worker may wait for an end.
        """
        sent = read_clock()
        deadline = None
        if self.clock.known and self._answered:
            deadline = self.clock.make_deadline(
                sent, self._ports.hold_seconds, latest=True
            )
            self.clock.note_lease(deadline)
        answer = await self._ports.client.hold(
            self.worker.entry,
            self._ports.election.token,
            self._ends.acknowledged,
            deadline,
            wait,
        )
        self._count('hold', answer)
        if self.over:
            # The life has ended meanwhile; its tasks are another's concern.
            return True
        self._answered = not isinstance(answer, Err)
        if isinstance(answer, Err):
            self._note_unreachable(answer.err_value)
            return False
        await self._take_report(answer.ok_value, sent)
        return True

    async def start(self, command: StartTask) -> None:
        """Send a start and note its outcome."""
        task = command.task
        if not self.clock.known or not self._ports.election.holds():
            self._fail_start(command, CallFault(Fault.NOT_DONE, 'not sent'))
            return
        deadline = self.clock.make_deadline(read_clock(), START_SECONDS)
        self.clock.note_lease(deadline)
        order = RunStart(
            task.key,
            command.run,
            command.payload,
            deadline,
            self._ports.election.token,
            task.checkpoint,
            command.ticket,
        )
        sent = read_clock()
        answer = await self._ports.client.start(self.worker.entry, order)
        self._count('start', answer)
        passed = read_clock() - sent
        self._ports.metrics.order_seconds.observe({}, passed)
        if isinstance(answer, Err):
            self._fail_start(command, answer.err_value)
            if answer.err_value.fault is Fault.UNKNOWN:
                await self._settle_start(command)
            return
        now = read_clock()
        self.clock.observe(answer.ok_value, sent, now)
        self._board.note_started(task, command.run, now)

    async def stop(self, command: StopTask) -> None:
        """Send a stop until it is acknowledged or has become pointless."""
        for _ in range(STOP_TRIES):
            if self.over or not self._ports.election.holds():
                return
            answer = await self._ports.client.stop(
                self.worker.entry,
                command.task.key,
                command.run,
                self._ports.election.token,
            )
            self._count('stop', answer)
            if not isinstance(answer, Err):
                self._board.note_stopped(
                    command.task, command.run, read_clock()
                )
                return
            if self._is_final(answer.err_value):
                return
            await asyncio.sleep(STOP_RETRY_SECONDS)

    def is_same_life(self, entry: WorkerEntry) -> bool:
        """Return whether an entry is of the life that this link holds."""
        known = self.worker.entry
        return (entry.born, entry.service) == (known.born, known.service)

    def update(self, entry: WorkerEntry) -> None:
        """Take a newer entry of the same life."""
        known = self.worker.entry
        self.worker.entry = entry
        self.worker.listed = True
        if entry.draining != known.draining:
            self._ports.log.info(
                'worker drains', worker=self.name, draining=entry.draining
            )

    def unlist(self) -> None:
        """Note that the entry is gone; what runs there goes on."""
        if self.worker.listed:
            self.worker.listed = False
            self._ports.log.info('worker entry gone', worker=self.name)

    def end_life(self, reason: str) -> None:
        """Free the tasks of the worker, whose life is over."""
        if self.over:
            return
        self.over = True
        lost = self._board.lose_worker(self.name)
        self._ports.log.warning(
            'worker lost', worker=self.name, reason=reason, tasks=len(lost)
        )
        self._ports.wake()

    def _count(self, kind: str, answer: Result[Any, CallFault]) -> None:
        outcome = 'ok'
        if isinstance(answer, Err):
            outcome = answer.err_value.fault.value
        self._ports.metrics.orders.inc({'kind': kind, 'outcome': outcome})

    async def _settle_start(self, command: StartTask) -> None:
        """Bar a start without an answer and look whether it runs."""
        task = command.task
        task.stop_asked_at = read_clock()
        await self.stop(StopTask(self.name, task, command.run))
        if task.stop_sent and not self.over and self._ports.election.holds():
            await self.hold_once(0)

    def _fail_start(self, command: StartTask, fault: CallFault) -> None:
        self._ports.log.info(
            'start not confirmed',
            job=command.task.key.job,
            task=dataclasses.astuple(command.task.key)[1:],
            run=command.run,
            worker=self.name,
            fault=fault.fault.value,
            detail=fault.detail,
        )
        self._board.note_start_failed(
            command.task, command.run, fault.fault, read_clock()
        )
        self._is_final(fault)
        self._ports.wake()

    def _is_final(self, fault: CallFault) -> bool:
        """Act on a fault that ends the leadership or the worker's life."""
        if fault.fault is Fault.FENCED:
            self._ports.election.lose('a worker has seen a higher token')
            return True
        if fault.fault is Fault.OTHER_LIFE:
            self.end_life('another life answers')
            return True
        return False

    def _choose_wait(self) -> float:
        worker = self.worker
        if not worker.adopted:
            return 0
        short = any(not row.step.long_running for row in worker.tasks.values())
        return BUSY_WAIT if short or worker.serves() else HOLD_WAIT

    async def _take_report(self, report: WorkerReport, sent: float) -> None:
        now = read_clock()
        if report.clock < self._last_clock:
            # A newer answer on another connection has overtaken this one.
            return
        self._last_clock = report.clock
        self.clock.observe(report.clock, now, now)
        if report.born not in {None, self._born}:
            self.end_life('it was born again')
            return
        worker = self.worker
        if not worker.reachable:
            self._ports.log.info('worker reached', worker=self.name)
        worker.reachable = True
        ends = self._ends.take(report.ends)
        for end in ends:
            self._ports.log.info(
                'run ended',
                job=end.task.job,
                task=dataclasses.astuple(end.task)[1:],
                run=end.run,
                worker=self.name,
                kind=end.kind.value,
                number=end.number,
            )
        reader = ReportReader(self._board, worker, now)
        commands = reader.apply(report, ends, sent)
        worker.adopted = True
        # Before anything else runs, which might take the changes.
        written = self._ports.recorder.mark(self._board.take_dirty())
        self._ports.send(self._board, commands)
        self._ports.wake()
        await self._pace()
        await self._store_ends(ends, written)

    async def _pace(self) -> None:
        for order in pace_worker(self.worker):
            answer = await self._ports.client.pace(
                self.worker.entry,
                order.task.key,
                order.run,
                order.percent,
                self._ports.election.token,
            )
            self._ports.log.info(
                'task paced',
                job=order.task.key.job,
                worker=self.name,
                percent=order.percent,
                outcome=str(answer.err()),
            )
            if isinstance(answer, Err):
                self._is_final(answer.err_value)
            else:
                order.task.percent = order.percent

    async def _store_ends(
        self,
        ends: list[RunEnd],
        written: Sequence[asyncio.Future[bool]],
    ) -> None:
        """Acknowledge ends only after the store has what they change."""
        if ends and all(await asyncio.gather(*written)):
            self._ends.note_stored(ends)

    def _note_unreachable(self, fault: CallFault) -> None:
        if self._is_final(fault):
            return
        worker = self.worker
        if worker.reachable:
            self._ports.log.warning(
                'worker not reached',
                worker=self.name,
                fault=fault.fault.value,
                detail=fault.detail,
            )
        worker.reachable = False
        if not self.clock.is_lapsed(read_clock()):
            return
        if worker.listed:
            self._free_lapsed()
        else:
            self.end_life('its leases have lapsed and its entry is gone')

    def _free_lapsed(self) -> None:
        lost = self._board.free_tasks(self.worker)
        if lost:
            self._ports.log.warning(
                'leases lapsed', worker=self.name, tasks=len(lost)
            )
            self._ports.wake()
