"""Simulated workers that run tasks under leases, and their run history."""

import asyncio
import dataclasses
import json
import time

from result import Err, Ok

from verbenapost.protocol.orders import (
    CallFault,
    CallFaultKind,
    ListedRun,
    RunEnd,
    RunEndKind,
    WorkerReport,
)

#: Longest lease of a run in seconds.
MAX_LEASE_SECONDS = 6.0

#: Seconds from the start of a long-running task until it is at work.
STARTUP_SECONDS = 0.7

#: Seconds from the start of a run that crashes its worker until the crash.
CRASH_SECONDS = 0.01

#: Seconds from such a crash until the worker is back.
RETURN_SECONDS = 3.0

#: Thousandths of a core that each run at work uses.
LOAD = 1000


@dataclasses.dataclass
class WorkerFaults:
    """Faults of one worker.

    :param unreachable: whether the worker is unreachable.
    :param mute: whether the worker's answers are lost.
    :param late: probability that an order takes effect seconds later and gets
        no answer.
    :param fail: probability that a run fails.
    """

    unreachable: bool = False
    mute: bool = False
    late: float = 0
    fail: float = 0


@dataclasses.dataclass(frozen=True)
class RunStarted:
    """A run started.

    :param ordered_at: seconds at which the order was sent.
    :param token: fencing token of the leader that sent the order.
    """

    at: float
    worker: str
    task: object
    run: int
    ordered_at: float = 0
    token: int = 0


@dataclasses.dataclass(frozen=True)
class RunEnded:
    """A run ended."""

    at: float
    worker: str
    task: object
    run: int
    kind: RunEndKind


@dataclasses.dataclass(frozen=True)
class RunCrashed(RunEnded):
    """A run ended as it crashed its worker."""


@dataclasses.dataclass(frozen=True)
class EndLost:
    """The end of a run was lost and no longer counts.

    It was not acknowledged when its worker crashed or when the worker's lease
    expired.
    """

    task: object
    run: int
    kind: RunEndKind


@dataclasses.dataclass
class _Run:
    run: int
    ends_at: float
    kind: RunEndKind
    started_at: float = 0

    def list(self, task, now):
        """Return the run as its worker lists it."""
        seconds = min(self.ends_at - self.started_at, STARTUP_SECONDS)
        progress = min(100, round((now - self.started_at) / seconds * 100))
        return ListedRun(task, self.run, '', progress, LOAD)


class FleetWorker:
    """One simulated worker.

    :param vm: name of its VM; by default one of the worker's own.
    :ivar address: ``IP:port`` that its entry shows.
    :ivar incarnation: Unix milliseconds of its last start.
    """

    def __init__(self, world, name, service, capacity, vm=''):
        self.world = world
        self.name = name
        self.vm = vm or f'vm-{name}'
        self.service = service
        self.address = world.draw_address(self)
        self.capacity = capacity
        self.faults = WorkerFaults()
        self.up = True
        self.draining = False
        self.incarnation = 0
        self._reset()

    @property
    def labels(self):
        """Kind and rack of the worker's VM."""
        return ('a', f'r{int(self.name[1:]) % 3}')

    def register(self):
        """Write the worker's entry into the store."""
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': 'draining' if self.draining else 'ready',
            'capacity': {
                'cpu': self.capacity.cpu,
                'mem_mb': self.capacity.memory,
                'gpu': self.capacity.gpus,
            },
            'labels': list(self.labels),
            'machine': self.vm,
            'born': self.incarnation,
        }
        packed = json.dumps(entry).encode()
        self.world.store.write(f'servers/{self.name}', packed)

    def resize(self, capacity):
        """Change the capacity; the runs go on."""
        self.capacity = capacity
        self.register()

    def crash(self, culprit=None):
        """Crash: lose all runs and all unacknowledged ends.

        :param culprit: task whose run causes the crash, if any.
        """
        for task in list(self.runs):
            event = RunCrashed if task == culprit else RunEnded
            self._end(task, RunEndKind.LAPSED, reported=False, event=event)
        self._lose_ends()
        self.up = False

    def restart(self):
        """Start a new incarnation, unless one is up."""
        if self.up:
            return
        self.up = True
        self._reset()
        self.register()

    def read_clock(self):
        """Return the worker's monotonic clock in milliseconds.

        The clock is 1.5 % slow and starts at 5000.
        """
        return (
            round((self.world.now() - self._started_at) * 0.985 * 1000) + 5000
        )

    def advance(self):
        """End the runs whose lease or duration is over."""
        now = self.world.now()
        if self.read_clock() > self.deadline:
            self._lose_ends()
            for task in list(self.runs):
                self._end(task, RunEndKind.LAPSED)
        for task, task_run in list(self.runs.items()):
            if task_run.ends_at <= now:
                self._end(task, task_run.kind)

    def start(self, order, ordered_at):
        """Start a run, or return why it is refused.

        :param order: the order.
        :param ordered_at: seconds at which the order was sent.
        """
        self.advance()
        if order.token < self.token:
            return self._refuse(CallFaultKind.FENCED)
        self.token = order.token
        current = self.runs.get(order.task)
        if current is not None and current.run == order.run:
            return Ok(self.read_clock())
        if order.run <= self._refused_runs.get(order.task, 0):
            return self._refuse(CallFaultKind.OLD_RUN)
        if self.read_clock() > order.deadline:
            return self._refuse(CallFaultKind.LATE)
        self.deadline = max(self.deadline, order.deadline)
        seconds, kind = self.world.draw_run(self, order.task)
        ends_at = self.world.now() + seconds
        self.runs[order.task] = _Run(order.run, ends_at, kind, self.world.now())
        self.world.history.append(
            RunStarted(
                self.world.now(),
                self.name,
                order.task,
                order.run,
                ordered_at,
                order.token,
            ),
        )
        if self.world.is_crashing(order.task):
            asyncio.get_running_loop().call_later(
                CRASH_SECONDS, self._crash_by, order.task, self.incarnation
            )
        return Ok(self.read_clock())

    def stop(self, task, run, token):
        """Stop a run and refuse it from now on."""
        self.advance()
        if token < self.token:
            return self._refuse(CallFaultKind.FENCED)
        self.token = token
        self._refused_runs[task] = max(run, self._refused_runs.get(task, 0))
        current = self.runs.get(task)
        if current is not None and current.run <= run:
            self._end(task, RunEndKind.STOPPED)
        return Ok(self.read_clock())

    def hold(self, token, acknowledged, deadline):
        """Extend the leases and return the report."""
        self.advance()
        if token < self.token:
            return self._refuse(CallFaultKind.FENCED)
        self.token = token
        self.ends = [end for end in self.ends if end.number > acknowledged]
        if deadline is not None:
            latest = self.read_clock() + round(MAX_LEASE_SECONDS * 1000)
            self.deadline = max(self.deadline, min(deadline, latest))
        return Ok(self.report())

    def report(self):
        """Return the running tasks and the unacknowledged ends."""
        now = self.world.now()
        running = [
            task_run.list(task, now) for task, task_run in self.runs.items()
        ]
        return WorkerReport(
            self.read_clock(), running, list(self.ends), self.incarnation
        )

    def break_step(self, task):
        """End the runs of a task's step as broken."""
        for other in list(self.runs):
            if dataclasses.replace(other, index=task.index) == task:
                self._end(other, RunEndKind.BROKEN)

    def _crash_by(self, task, incarnation):
        if self.up and self.incarnation == incarnation and task in self.runs:
            self.crash(task)
            self.world.break_gang(task)
            asyncio.get_running_loop().call_later(RETURN_SECONDS, self.restart)

    def _lose_ends(self):
        self.world.history.extend(
            EndLost(end.task, end.run, end.kind)
            for end in self.ends
            if end.number > self._lost_end_count
        )
        self._lost_end_count = self._end_count

    def _reset(self):
        started_at_ms = round(time.time() * 1000)
        self.incarnation = max(self.incarnation + 1, started_at_ms)
        self.runs = {}
        self.ends = []
        self.token = 0
        self.deadline = 0
        self._end_count = 0
        self._lost_end_count = 0
        self._refused_runs = {}
        self._started_at = self.world.now()

    def _end(self, task, kind, reported=True, event=RunEnded):  # noqa: FBT002
        task_run = self.runs.pop(task)
        self._refused_runs[task] = max(
            task_run.run, self._refused_runs.get(task, 0)
        )
        if reported:
            self._end_count += 1
            self.ends.append(
                RunEnd(self._end_count, task, task_run.run, kind, '')
            )
        self.world.history.append(
            event(self.world.now(), self.name, task, task_run.run, kind),
        )

    def _refuse(self, kind):
        return Err(CallFault(kind, '', self.read_clock()))


class FleetWorkers:
    """Client of one daemon for the workers, with the scheduler's interface.

    :ivar unreachable: names of the workers that this daemon can not reach.
    """

    def __init__(self, world):
        self.world = world
        self.unreachable = set()

    async def start(self, worker, order):
        """Start a run."""
        ordered_at = self.world.now()
        return await self._send_order(
            worker, lambda fleet_worker: fleet_worker.start(order, ordered_at)
        )

    async def stop(self, worker, task, run, token):
        """Stop a run."""
        return await self._send_order(
            worker, lambda fleet_worker: fleet_worker.stop(task, run, token)
        )

    async def pace(self, worker, _task, _run, _percent, _token):
        """Accept a pace without slowing the run."""
        return await self._send_order(
            worker, lambda fleet_worker: Ok(fleet_worker.read_clock())
        )

    async def hold(self, worker, token, acknowledged, deadline, wait):
        """Extend the leases and wait until a run ends."""
        answer = await self._send_order(
            worker,
            lambda fleet_worker: fleet_worker.hold(
                token, acknowledged, deadline
            ),
        )
        if isinstance(answer, Err) or answer.ok_value.ends:
            return answer
        fleet_worker = self.world.workers[worker.worker]
        wait_until = self.world.now() + wait
        while self.world.now() < wait_until and not fleet_worker.ends:
            await asyncio.sleep(0.05)
            fleet_worker.advance()
        silent = fleet_worker.faults.mute or self._is_unreachable(fleet_worker)
        if not fleet_worker.up or silent:
            return await self._time_out()
        return Ok(fleet_worker.report())

    async def _send_order(self, worker, execute):
        await asyncio.sleep(0.002)
        fleet_worker = self.world.workers.get(worker.worker)
        if fleet_worker is None:
            # An entry of another writer names no worker of this world.
            return Err(CallFault(CallFaultKind.NOT_DONE, 'refused'))
        if not fleet_worker.up or self._is_unreachable(fleet_worker):
            return await self._time_out()
        if (
            fleet_worker.incarnation != worker.started_at_ms
            and worker.worker in self.world.replaced
        ):
            return Err(CallFault(CallFaultKind.OTHER_INCARNATION))
        if self.world.rng.random() < fleet_worker.faults.late:
            delay = self.world.rng.uniform(1, 8)
            loop = asyncio.get_running_loop()
            incarnation = fleet_worker.incarnation
            loop.call_later(
                delay, self._execute_late, fleet_worker, incarnation, execute
            )
            return await self._time_out()
        outcome = execute(fleet_worker)
        if fleet_worker.faults.mute:
            return await self._time_out()
        return outcome

    def _execute_late(self, fleet_worker, incarnation, execute):
        # A delayed order is lost when its worker crashes.
        if fleet_worker.up and fleet_worker.incarnation == incarnation:
            execute(fleet_worker)

    def _is_unreachable(self, fleet_worker):
        return (
            fleet_worker.faults.unreachable
            or fleet_worker.name in self.unreachable
        )

    async def _time_out(self):
        await asyncio.sleep(1)
        return Err(CallFault(CallFaultKind.UNKNOWN, 'no answer'))
