"""Owner of a pool's jobs: carries out what the board decides."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, final

from result import Err, Ok, Result

from verbenapost.coordination.jobs import commands
from verbenapost.coordination.jobs.board import TASK_LEASE, JobBoard
from verbenapost.coordination.jobs.entries import EntryResult, JobEntry
from verbenapost.coordination.jobs.feed import JobFeed
from verbenapost.coordination.jobs.ledger import JobLedger
from verbenapost.coordination.jobs.steps import Step, make_start
from verbenapost.protocol.errors import Failure
from verbenapost.protocol.requests import DEFAULT_URGENCY
from verbenapost.protocol.store import StorePort
from verbenapost.protocol.tasks import TaskOrder, TaskPort

#: Seconds between two rounds of decisions.
TICK_PERIOD = 0.25

#: Seconds between two reports of one worker.
REPORT_PERIOD = 0.5

#: Seconds before a failed read of the store is repeated.
FEED_PAUSE = 0.5

#: Seconds between two sweeps of old batches.
SWEEP_PERIOD = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerPorts:
    """What a job owner works with.

    :param store: the platform's store.
    :param tasks: task interface of the workers.
    :param ledger: writes records.
    :param now: returns monotonic seconds.
    :param wall: returns Unix time in seconds.
    """

    store: StorePort
    tasks: TaskPort
    ledger: JobLedger
    now: Callable[[], float]
    wall: Callable[[], float]


@final
class JobOwner:
    """Runs the board of one pool until it is closed.

    :param ports: what it works with.
    :param pool: name of the pool.
    :param holder: random text made at each start of the process.
    """

    def __init__(self, ports: OwnerPorts, pool: str, holder: str) -> None:
        self.board = JobBoard(holder)
        self._ports = ports
        self._pool = pool
        self._feed = JobFeed(ports.store, pool, self._adopt)
        self._addresses: dict[str, str] = {}
        self._polls: dict[str, asyncio.Task[None]] = {}
        self._running: set[asyncio.Task[None]] = set()

    def configure(
        self,
        serving: Mapping[str, str],
        leaving: Mapping[str, str],
    ) -> None:
        """Replace the workers of the pool by VM and address."""
        self.board.configure(serving, leaving, self._ports.now())
        self._addresses.update(leaving)
        self._addresses.update(serving)
        for gone in set(self._polls) - set(serving) - set(leaving):
            self._polls.pop(gone).cancel()
        for name in {*serving, *leaving} - set(self._polls):
            self._polls[name] = asyncio.create_task(self._poll(name))

    async def run(self) -> None:
        """Follow the store and decide until cancelled."""
        try:
            await asyncio.gather(self._follow(), self._decide(), self._sweep())
        finally:
            self._close()

    def _close(self) -> None:
        for task in (*self._polls.values(), *self._running):
            task.cancel()

    def _adopt(self, entry: JobEntry) -> None:
        self.board.adopt(entry, self._ports.now())

    async def _follow(self) -> None:
        while True:
            read = self._feed.follow if self._feed.loaded else self._feed.load
            if isinstance(await read(), Err):
                await asyncio.sleep(FEED_PAUSE)

    async def _decide(self) -> None:
        while True:
            if self._feed.loaded:
                self._tick()
            await asyncio.sleep(TICK_PERIOD)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_PERIOD)
            await self._feed.sweep(self._ports.wall())

    def _tick(self) -> None:
        ports = self._ports
        for command in self.board.tick(ports.now(), ports.wall()):
            self._spawn(self._carry_out(command))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _poll(self, name: str) -> None:
        ports = self._ports
        while True:
            asked_at = ports.now()
            if self._feed.loaded:
                answer = await ports.tasks.renew(
                    self._addresses[name],
                    self.board.list_renewals(name),
                    TASK_LEASE,
                )
                if isinstance(answer, Ok):
                    report = answer.ok_value
                    self.board.take_report(name, report, asked_at, ports.now())
            await asyncio.sleep(REPORT_PERIOD)

    async def _carry_out(self, command: commands.Command) -> None:
        match command:
            case commands.ChangeJob():
                await self._change(command)
            case commands.StartTask():
                await self._start(command)
            case _:
                await self._call(command)

    async def _change(self, command: commands.ChangeJob) -> None:
        outcome = await self._write(command.job, command.step)
        self.board.settle(command.job, outcome, self._ports.now())

    async def _write(self, job: str, step: Step) -> EntryResult:
        record = self.board.find(job)
        urgency = DEFAULT_URGENCY if record is None else record.urgency
        ledger = self._ports.ledger
        return await ledger.change(self._pool, job, step, urgency)

    async def _start(self, command: commands.StartTask) -> None:
        ports = self._ports
        step = make_start(command.attempt, command.vm, self.board.holder)
        outcome = await self._write(command.job, step)
        self.board.settle(command.job, outcome, ports.now())
        if isinstance(outcome, Err):
            return
        record = outcome.ok_value.record
        address = self._addresses.get(command.vm, '')
        order = TaskOrder(
            record.job,
            record.attempt,
            record.seconds,
            record.cpu,
            record.memory,
            record.progress,
            TASK_LEASE,
            record.path,
            record.content,
        )
        # Whether it is refused, lost or started is seen in the next report.
        await ports.tasks.start(address, order)
        self.board.confirm_start(command, ports.now())

    async def _call(
        self,
        command: commands.CheckpointTask
        | commands.ThrottleTask
        | commands.StopTask,
    ) -> Result[None, Failure]:
        tasks = self._ports.tasks
        address = self._addresses.get(command.vm, '')
        meant = (address, command.job, command.attempt)
        match command:
            case commands.CheckpointTask():
                return await tasks.checkpoint(*meant)
            case commands.ThrottleTask():
                return await tasks.throttle(*meant, command.share)
        return await tasks.stop(*meant)
