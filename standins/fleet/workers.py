"""Workers that run tasks under leases, and a history of what they did."""

import asyncio
import dataclasses
import json

from result import Err, Ok

from verbenapost.protocol.orders import (
    CallFault,
    EndKind,
    Fault,
    RunEnd,
    RunningTask,
    WorkerReport,
)

#: Longest lease of a run in seconds.
MAX_HOLD = 6.0


@dataclasses.dataclass
class WorkerFaults:
    """What goes wrong at one worker.

    :param cut: whether no call reaches it.
    :param late: share of the orders that are carried out seconds later and
        not answered.
    :param fail: share of the runs that fail.
    """

    cut: bool = False
    late: float = 0
    fail: float = 0


@dataclasses.dataclass(frozen=True)
class Begun:
    """A run has begun."""

    at: float
    worker: str
    task: object
    run: int


@dataclasses.dataclass(frozen=True)
class Ended:
    """A run has ended."""

    at: float
    worker: str
    task: object
    run: int
    kind: EndKind


@dataclasses.dataclass(frozen=True)
class Forgotten:
    """An end does not count: nobody had acknowledged it when its worker was
    lost, or when the worker's lease lapsed.
    """

    task: object
    run: int
    kind: EndKind


@dataclasses.dataclass
class _Run:
    run: int
    until: float
    kind: EndKind


class FleetWorker:
    """One worker; ``born`` tells its lives apart."""

    def __init__(self, world, name, service, room):
        self.world = world
        self.name = name
        self.service = service
        self.room = room
        self.faults = WorkerFaults()
        self.up = True
        self.draining = False
        self.born = 0
        self._reset()

    def register(self):
        """Write its entry into the store."""
        entry = {
            'service': self.service,
            'address': f'10.0.0.1:{int(self.name[1:]) + 1}',
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': 'draining' if self.draining else 'ready',
            'capacity': {
                'cpu': self.room.cpu,
                'mem_mb': self.room.memory,
                'gpu': self.room.gpus,
            },
            'labels': ['a', f'r{int(self.name[1:]) % 3}'],
            'machine': f'vm-{self.name}',
            'born': self.born,
        }
        packed = json.dumps(entry).encode()
        self.world.store.write(f'servers/{self.name}', packed)

    def crash(self):
        """Lose everything that runs."""
        for task in list(self.runs):
            self._end(task, EndKind.LAPSED, listed=False)
        self._forget_ends()
        self.up = False

    def restart(self):
        """Begin another life."""
        self.up = True
        self._reset()
        self.register()

    def read_clock(self):
        """Return its steady clock in milliseconds; it is slow."""
        return round((self.world.now() - self._began) * 0.985 * 1000) + 5000

    def advance(self):
        """End what is over by now."""
        now = self.world.now()
        if self.read_clock() > self.deadline:
            self._forget_ends()
            for task in list(self.runs):
                self._end(task, EndKind.LAPSED)
        for task, row in list(self.runs.items()):
            if row.until <= now:
                self._end(task, row.kind)

    def start(self, order):
        """Begin a run, or return what speaks against it."""
        self.advance()
        if order.token < self.token:
            return self._refuse(Fault.FENCED)
        self.token = order.token
        current = self.runs.get(order.task)
        if current is not None and current.run == order.run:
            return Ok(self.read_clock())
        if order.run <= self._barred.get(order.task, 0):
            return self._refuse(Fault.OLD_RUN)
        if self.read_clock() > order.deadline:
            return self._refuse(Fault.LATE)
        self.deadline = max(self.deadline, order.deadline)
        seconds, kind = self.world.draw_run(self, order.task)
        until = self.world.now() + seconds
        self.runs[order.task] = _Run(order.run, until, kind)
        self.world.history.append(
            Begun(self.world.now(), self.name, order.task, order.run),
        )
        return Ok(self.read_clock())

    def stop(self, task, run, token):
        """Stop a run and bar it."""
        self.advance()
        if token < self.token:
            return self._refuse(Fault.FENCED)
        self.token = token
        self._barred[task] = max(run, self._barred.get(task, 0))
        current = self.runs.get(task)
        if current is not None and current.run <= run:
            self._end(task, EndKind.STOPPED)
        return Ok(self.read_clock())

    def hold(self, token, acknowledged, deadline):
        """Extend the leases and return the lists."""
        self.advance()
        if token < self.token:
            return self._refuse(Fault.FENCED)
        self.token = token
        self.ends = [end for end in self.ends if end.number > acknowledged]
        if deadline is not None:
            most = self.read_clock() + round(MAX_HOLD * 1000)
            self.deadline = max(self.deadline, min(deadline, most))
        return Ok(self.report())

    def report(self):
        """Return the lists."""
        running = [
            RunningTask(task, row.run, '', 100, 0)
            for task, row in self.runs.items()
        ]
        return WorkerReport(
            self.read_clock(), running, list(self.ends), self.born
        )

    def _forget_ends(self):
        self.world.history.extend(
            Forgotten(end.task, end.run, end.kind)
            for end in self.ends
            if end.number > self._forgotten
        )
        self._forgotten = self._count

    def _reset(self):
        self.born += 1
        self.runs = {}
        self.ends = []
        self.token = 0
        self.deadline = 0
        self._count = 0
        self._forgotten = 0
        self._barred = {}
        self._began = self.world.now()

    def _end(self, task, kind, listed=True):  # noqa: FBT002
        row = self.runs.pop(task)
        self._barred[task] = max(row.run, self._barred.get(task, 0))
        if listed:
            self._count += 1
            self.ends.append(RunEnd(self._count, task, row.run, kind, ''))
        self.world.history.append(
            Ended(self.world.now(), self.name, task, row.run, kind),
        )

    def _refuse(self, fault):
        return Err(CallFault(fault, '', self.read_clock()))


class FleetWorkers:
    """The workers as one daemon reaches them; speaks the scheduler's port."""

    def __init__(self, world):
        self.world = world
        self.cut = set()

    async def start(self, worker, order):
        """Start a run."""
        return await self._order(worker, lambda row: row.start(order))

    async def stop(self, worker, task, run, token):
        """Stop a run."""
        return await self._order(worker, lambda row: row.stop(task, run, token))

    async def pace(self, worker, _task, _run, _percent, _token):
        """Take a pace; nothing is slowed."""
        return await self._order(worker, lambda row: Ok(row.read_clock()))

    async def hold(self, worker, token, acknowledged, deadline, wait):
        """Extend leases and wait for an end."""
        answer = await self._order(
            worker, lambda row: row.hold(token, acknowledged, deadline)
        )
        if isinstance(answer, Err) or answer.ok_value.ends:
            return answer
        row = self.world.workers[worker.worker]
        until = self.world.now() + wait
        while self.world.now() < until and not row.ends:
            await asyncio.sleep(0.05)
            row.advance()
        if not row.up or self._is_cut(row):
            return await self._time_out()
        return Ok(row.report())

    async def _order(self, worker, carry_out):
        row = self.world.workers[worker.worker]
        await asyncio.sleep(0.002)
        if not row.up or self._is_cut(row):
            return await self._time_out()
        if row.born != worker.born and worker.worker in self.world.replaced:
            return Err(CallFault(Fault.OTHER_LIFE))
        if self.world.chance.random() < row.faults.late:
            delay = self.world.chance.uniform(1, 8)
            loop = asyncio.get_running_loop()
            life = row.born
            loop.call_later(delay, self._carry_out_late, row, life, carry_out)
            return await self._time_out()
        return carry_out(row)

    def _carry_out_late(self, row, life, carry_out):
        # What a worker has left undone ends with its life.
        if row.up and row.born == life:
            carry_out(row)

    def _is_cut(self, row):
        return row.faults.cut or row.name in self.cut

    async def _time_out(self):
        await asyncio.sleep(1)
        return Err(CallFault(Fault.UNKNOWN, 'no answer'))
