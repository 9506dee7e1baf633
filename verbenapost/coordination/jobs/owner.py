"""Owner of a pool's jobs: executes the commands of its scheduler."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine, Mapping
from typing import Any, final

from result import Err, Result

from verbenapost.coordination.jobs import commands
from verbenapost.coordination.jobs.entries import EntryResult, JobEntry
from verbenapost.coordination.jobs.feed import JobFeed
from verbenapost.coordination.jobs.recordstore import JobRecordStore
from verbenapost.coordination.jobs.scheduler import (
    TASK_LEASE_SECONDS,
    JobScheduler,
)
from verbenapost.coordination.jobs.transitions import Transition, make_start
from verbenapost.protocol.errors import Failure
from verbenapost.protocol.requests import DEFAULT_URGENCY
from verbenapost.protocol.store import StorePort
from verbenapost.protocol.tasks import TaskOrder, TaskPort

#: Seconds between two scheduling rounds.
TICK_PERIOD = 0.25

#: Seconds between two requests for a worker's report.
REPORT_PERIOD = 0.5

#: Seconds before a failed read of the store is retried.
FEED_RETRY_SECONDS = 0.5

#: Seconds between two sweeps of old batches.
SWEEP_PERIOD = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerPorts:
    """Dependencies of a job owner.

    :param store: the platform's store.
    :param tasks: task interface of the workers.
    :param record_store: reads and writes job records.
    :param now: returns monotonic seconds.
    :param wall: returns Unix time in seconds.
    """

    store: StorePort
    tasks: TaskPort
    record_store: JobRecordStore
    now: Callable[[], float]
    wall: Callable[[], float]


@final
class JobOwner:
    """Runs the scheduler of one pool until cancelled.

    :param ports: dependencies of the owner.
    :param pool: name of the pool.
    :param holder: random text generated at each start of the process.
    """

    def __init__(self, ports: OwnerPorts, pool: str, holder: str) -> None:
        self.scheduler = JobScheduler(holder)
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
        """Replace the workers of the pool.

        :param serving: addresses by VM of workers that accept tasks.
        :param leaving: addresses by VM of workers that accept no new tasks.
        """
        self.scheduler.configure(serving, leaving, self._ports.now())
        self._addresses.update(leaving)
        self._addresses.update(serving)
        for gone in set(self._polls) - set(serving) - set(leaving):
            self._polls.pop(gone).cancel()
        for name in sorted({*serving, *leaving} - set(self._polls)):
            self._polls[name] = asyncio.create_task(self._poll(name))

    async def run(self) -> None:
        """Follow the store and schedule jobs until cancelled."""
        try:
            await asyncio.gather(
                self._follow(), self._run_rounds(), self._sweep()
            )
        finally:
            self._close()

    def _close(self) -> None:
        for task in (*self._polls.values(), *self._running):
            task.cancel()

    def _adopt(self, entry: JobEntry) -> None:
        self.scheduler.adopt(entry, self._ports.now())

    async def _follow(self) -> None:
        while True:
            read = self._feed.follow if self._feed.loaded else self._feed.load
            if isinstance(await read(), Err):
                await asyncio.sleep(FEED_RETRY_SECONDS)

    async def _run_rounds(self) -> None:
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
        for command in self.scheduler.tick(ports.now(), ports.wall()):
            self._spawn(self._execute(command))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _poll(self, name: str) -> None:
        ports = self._ports
        while True:
            asked_at = ports.now()
            if self._feed.loaded:
                renewals = self.scheduler.list_renewals(name)
                if renewals:
                    self.scheduler.note_lease(name, asked_at)
                answer = await ports.tasks.renew(
                    self._addresses[name], renewals, TASK_LEASE_SECONDS
                )
                if isinstance(answer, Err):
                    self.scheduler.note_silence(name, ports.now())
                else:
                    report = answer.ok_value
                    self.scheduler.apply_report(
                        name, report, asked_at, ports.now()
                    )
            await asyncio.sleep(REPORT_PERIOD)

    async def _execute(self, command: commands.Command) -> None:
        match command:
            case commands.ChangeJob():
                await self._change(command)
            case commands.StartTask():
                await self._start(command)
            case _:
                await self._call_worker(command)

    async def _change(self, command: commands.ChangeJob) -> None:
        outcome = await self._write(command.job, command.transition)
        self.scheduler.finish_change(command.job, outcome, self._ports.now())

    async def _write(self, job: str, transition: Transition) -> EntryResult:
        record = self.scheduler.find(job)
        urgency = DEFAULT_URGENCY if record is None else record.urgency
        record_store = self._ports.record_store
        return await record_store.change(self._pool, job, transition, urgency)

    async def _start(self, command: commands.StartTask) -> None:
        ports = self._ports
        transition = make_start(
            command.attempt, command.vm, self.scheduler.holder
        )
        outcome = await self._write(command.job, transition)
        self.scheduler.finish_change(command.job, outcome, ports.now())
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
            TASK_LEASE_SECONDS,
            record.path,
            record.content,
        )
        self.scheduler.note_lease(command.vm, ports.now())
        # The next report shows whether the start was refused, lost or done.
        await ports.tasks.start(address, order)
        self.scheduler.confirm_start(command, ports.now())

    async def _call_worker(
        self,
        command: commands.CheckpointTask
        | commands.ThrottleTask
        | commands.StopTask,
    ) -> Result[None, Failure]:
        tasks = self._ports.tasks
        address = self._addresses.get(command.vm, '')
        task_run = (address, command.job, command.attempt)
        match command:
            case commands.CheckpointTask():
                return await tasks.checkpoint(*task_run)
            case commands.ThrottleTask():
                return await tasks.throttle(*task_run, command.share)
        return await tasks.stop(*task_run)
