"""Simulation in virtual time of a faulty store, VMs and keepers."""

import asyncio
import dataclasses
import heapq
import itertools
import random

from result import Err, Ok

from standins.vm_platform import Platform, RefusedError, UnknownVmError
from verbenapost.coordination.pools.keeper import PoolKeeper
from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.platform import (
    ListedVm,
    ListedVmState,
    VmOperation,
    VmStatus,
)
from verbenapost.protocol.store import Entry, Listing
from verbenapost.state.documents import (
    AvailabilityBudget,
    FailureDomain,
    PoolSpec,
    ServiceSpec,
)
from verbenapost.state.vms import VM_PREFIX, VmState, unpack_vm

UNAVAILABLE = Err(Failure(ErrorKind.STORE_UNAVAILABLE))
UNKNOWN = Err(Failure(ErrorKind.STORE_UNKNOWN))


class Scheduler:
    """Virtual-time scheduler that wakes the earliest sleeper first."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 1000.0
        self._heap = []
        self._order = itertools.count()

    async def sleep(self, seconds):
        future = asyncio.get_running_loop().create_future()
        wake_at = self.now + seconds
        heapq.heappush(self._heap, (wake_at, next(self._order), future))
        await future

    async def run_until(self, end):
        while self._heap and self._heap[0][0] <= end:
            self.now, _, future = heapq.heappop(self._heap)
            if not future.done():
                future.set_result(None)
            for _ in range(3):
                await asyncio.sleep(0)
        self.now = end


@dataclasses.dataclass
class StoreFaults:
    latency: float = 0.005
    lose: float = 0.0
    refuse: float = 0.0
    stale: float = 0.0
    freeze: float = 0.0
    freeze_seconds: float = 120.0
    platform_freeze: float = 0.0


@dataclasses.dataclass(frozen=True)
class Change:
    """A write that the store applied.

    ``read_revision`` is the revision of the writer's last read of the fleet.
    """

    at: float
    revision: int
    key: str
    value: bytes | None
    instance: str
    read_revision: int


class FakeStore:
    """Store state shared by all clients."""

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.faults = StoreFaults()
        self.revision = 0
        self.entries = {}
        self.snapshots = [{}]
        self.changes = []
        self.calls = 0
        self.check_revisions = True

    def apply(self, key, expected, value, instance, read_revision):
        current = self.entries.get(key)
        current_revision = current.revision if current else 0
        if current_revision != expected and self.check_revisions:
            return Err(Failure(ErrorKind.CONFLICT))
        self.revision += 1
        self.entries = dict(self.entries)
        if value is None:
            self.entries.pop(key, None)
        else:
            self.entries[key] = Entry(key, value, self.revision)
        self.snapshots.append(self.entries)
        self.changes.append(
            Change(
                self.scheduler.now,
                self.revision,
                key,
                value,
                instance,
                read_revision,
            )
        )
        return Ok(self.revision)


class StoreClient:
    """StorePort of one process, which may freeze before and after calls."""

    def __init__(self, store, instance):
        self.store = store
        self.instance = instance
        self.read_revision = 0

    async def get(self, key):
        return await self._read(lambda at: self.store.snapshots[at].get(key))

    async def list_prefix(self, prefix):
        def read(at):
            found = [
                entry
                for key, entry in sorted(self.store.snapshots[at].items())
                if key.startswith(prefix)
            ]
            if prefix == VM_PREFIX:
                self.read_revision = at
            return Listing(found, at)

        return await self._read(read)

    async def swap(self, key, expected, value, lease=''):
        return await self._write(key, expected, value)

    async def delete(self, key, expected):
        return await self._write(key, expected, None)

    async def _read(self, read):
        if await self._pause():
            return UNAVAILABLE
        at = self.store.revision
        if self._draw() < self.store.faults.stale:
            at = max(0, at - self.store.scheduler.random.randrange(3))
        answer = read(at)
        await self._pause()
        return Ok(answer)

    async def _write(self, key, expected, value):
        if await self._pause():
            return UNAVAILABLE
        answer = self.store.apply(
            key, expected, value, self.instance, self.read_revision
        )
        lost = self._draw() < self.store.faults.lose
        await self._pause()
        return UNKNOWN if lost else answer

    def _draw(self):
        return self.store.scheduler.random.random()

    async def _pause(self):
        faults = self.store.faults
        wait = faults.latency * (0.2 + 2 * self._draw())
        if self._draw() < faults.freeze:
            wait += faults.freeze_seconds * self._draw()
        self.store.calls += 1
        await self.store.scheduler.sleep(wait)
        return self._draw() < faults.refuse


class FakePlatform:
    """PlatformPort of one process on the shared platform."""

    def __init__(self, simulation):
        self._simulation = simulation
        #: Delay of each drain call of this process in seconds.
        self.drain_delay = 0.0

    async def list_vms(self):
        await self._pause()
        rows = self._simulation.platform.list_vms()
        vms = {row['name']: _parse(row) for row in rows}
        return Ok(list(vms.values()))

    async def inspect(self, name):
        return await self._call('inspect', name)

    async def drain(self, name, boot):
        await self._simulation.scheduler.sleep(self.drain_delay)
        return await self._call('drain', name, self._fence(boot))

    async def reboot(self, name, boot, pool):
        return await self._call('reboot', name, pool, self._fence(boot))

    def _fence(self, boot):
        return boot if self._simulation.check_boots else None

    async def _call(self, operation, name, *arguments):
        await self._pause()
        try:
            platform_vm = getattr(self._simulation.platform, operation)(
                name, *arguments
            )
        except UnknownVmError:
            return Err(Failure(ErrorKind.NOT_FOUND))
        except RefusedError as refused:
            return Err(Failure(ErrorKind.CONFLICT, str(refused)))
        if operation != 'inspect':
            self._simulation.record_call(operation, name)
        status = VmStatus(
            name,
            VmOperation(platform_vm.operation),
            platform_vm.boot,
            platform_vm.pool,
        )
        await self._pause()
        return Ok(status)

    async def _pause(self):
        scheduler = self._simulation.scheduler
        faults = self._simulation.store.faults
        wait = 0.01 * scheduler.random.random()
        if scheduler.random.random() < faults.platform_freeze:
            wait += faults.freeze_seconds * scheduler.random.random()
        await scheduler.sleep(wait)


def _parse(row):
    return ListedVm(**{**row, 'state': ListedVmState(row['state'])})


def make_policy(pools=3, need=5, budget=None):
    budget = budget or AvailabilityBudget(
        min_healthy=2, max_planned=2, survive=FailureDomain.RACK
    )
    names = [f'pool{number}' for number in range(pools)]
    specs = {name: PoolSpec(vms=need) for name in names}
    specs['spare'] = PoolSpec(vms=2, spare=True)
    services = {
        f'svc-{name}': ServiceSpec(name, budget=budget) for name in specs
    }
    return FleetPolicy(specs, services)


class Simulation:
    """Keepers, operators and VMs, with a record of their actions."""

    def __init__(self, seed, policy=None, keeper_type=PoolKeeper):
        self.scheduler = Scheduler(seed)
        self.policy = policy or make_policy()
        self.store = FakeStore(self.scheduler)
        self.platform = Platform(lambda: self.scheduler.now, seed)
        self.platform.change_faults({'drain_seconds': 4, 'reboot_seconds': 20})
        self.check_boots = True
        self.calls = []
        self.served = []
        self.keeper_type = keeper_type
        self.keepers = []
        self.tasks = []

    def add_vms(self, racks=8, size=4, centres=3):
        for rack, place in itertools.product(range(racks), range(size)):
            self.platform.add(
                {
                    'name': f'vm-{rack}-{place}',
                    'address': f'10.0.{rack}.{place}:80',
                    'data_centre': f'dc{rack % centres}',
                    'rack': f'r{rack}',
                }
            )

    def add_keeper(self, name, period=2.0):
        keeper = self.keeper_type(
            StoreClient(self.store, name),
            FakePlatform(self),
            name,
            lambda: self.policy,
            lambda _entry: True,
        )
        self.keepers.append(keeper)
        self.spawn(self._run(keeper, period))
        return keeper

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def run(self, seconds):
        await asyncio.sleep(0)
        await self.scheduler.run_until(self.scheduler.now + seconds)
        for task in self.tasks:
            if task.done() and not task.cancelled():
                task.result()

    def stop(self):
        for task in self.tasks:
            task.cancel()

    def read_vms(self):
        return {
            key.removeprefix(VM_PREFIX): unpack_vm(entry.value)
            for key, entry in self.store.entries.items()
            if key.startswith(VM_PREFIX)
        }

    def record_call(self, operation, name):
        entry = self.store.entries.get(VM_PREFIX + name)
        state = unpack_vm(entry.value).state if entry else None
        self.calls.append((self.scheduler.now, operation, name, state))

    async def serve(self, lag=20):
        """Send work to VMs as daemons with differently stale views would."""
        while True:
            await self.scheduler.sleep(1)
            for _ in range(8):
                self._send(self.scheduler.random.randrange(lag * 2 + 1))

    def _send(self, age):
        at = max(0, self.store.revision - age)
        for key, entry in self.store.snapshots[at].items():
            if not key.startswith(VM_PREFIX):
                continue
            vm = unpack_vm(entry.value)
            platform_vm = self.platform.vms[vm.name]
            platform_vm.advance(self.scheduler.now)
            fits = platform_vm.pool in {'', vm.pool}
            runs = (
                platform_vm.operation == 'running'
                and platform_vm.state != 'dead'
            )
            if vm.state is VmState.IN_SERVICE and fits and runs:
                self.served.append((vm.name, platform_vm.boot, vm.pool))

    async def _run(self, keeper, period):
        while True:
            await keeper.step(self.scheduler.now)
            wait = period * (0.5 + self.scheduler.random.random())
            await self.scheduler.sleep(wait)
