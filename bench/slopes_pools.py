"""Slopes of the pool keeper and of the VM records."""

import asyncio
import dataclasses
import json
import time

from result import Ok

from bench import pools_solve
from bench.slopes_fit import fit_line
from standins.core import StoreCore
from standins.memory import MemoryStore
from standins.vm_platform import Machine, Platform
from verbenapost.coordination.pools.keeper import PoolKeeper
from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.protocol.platform import ListedVm, PoolOperation, VmStatus
from verbenapost.state.documents import PoolSpec, ServiceSpec
from verbenapost.state.vms import VmRecord, VmState, pack_vm

#: VMs of a region, and of the assignment that is solved.
VMS = (100, 300, 870)
SOLVED = (220, 435, 870)
POOLS = 11
REPEATS = 3


class CountingStore(MemoryStore):
    """Store in memory that counts the bytes of its listings."""

    listed = 0

    async def list_prefix(self, prefix):
        """List and count keys and values."""
        answer = await super().list_prefix(prefix)
        rows = answer.ok_value.entries
        self.listed += sum(len(row.key) + len(row.value) for row in rows)
        return answer


class QuietPlatform:
    """Platform of which no VM ends its drain."""

    def __init__(self, platform):
        self._platform = platform

    async def list_vms(self):
        """Return the VM list."""
        return Ok([ListedVm(**row) for row in self._platform.list_vms()])

    async def inspect(self, name):
        """Return a VM that drains."""
        return Ok(VmStatus(name, PoolOperation.DRAINING, 1, 'pool0'))

    async def drain(self, name, boot):
        """Return a VM that drains."""
        return Ok(VmStatus(name, PoolOperation.DRAINING, boot, 'pool0'))


def make_policy():
    """Return pools with a service each."""
    names = [f'pool{number}' for number in range(POOLS)]
    specs = {name: PoolSpec(vms=1) for name in names}
    specs['pool0'] = PoolSpec(vms=0, spare=True)
    services = {f'svc-{name}': ServiceSpec(name) for name in names}
    return FleetPolicy(specs, services)


def make_record(number):
    """Return the record of a VM as it is in service."""
    return VmRecord(
        f'cs-{number:05d}',
        f'10.0.{number // 250}.{number % 250}:8080',
        f'pool{number % POOLS}',
        data_centre=f'dc{number % 3}',
        rack=f'r{number // 4:03d}',
        epoch=3,
        changed_at=1_790_000_000.125,
        maintained_at=time.time(),
        boot=1,
        writer='0123456789abcdef:1234',
    )


def make_region(vms):
    """Return a store and a platform with VMs, the first on its way."""
    core = StoreCore()
    rows = []
    platform = Platform(time.monotonic)
    for number in range(vms):
        record = make_record(number)
        if not number:
            record = dataclasses.replace(record, state=VmState.DRAINING)
        core.swap(f'vm/{record.name}', 0, pack_vm(record), now=0)
        row = {
            'name': record.name,
            'address': record.address,
            'data_centre': record.data_centre,
            'rack': record.rack,
        }
        rows.append(row)
    # Each addition keeps a copy of the list; the history is not needed.
    for row in rows[:-1]:
        platform.machines[row['name']] = Machine(**row)
    platform.add(rows[-1])
    return CountingStore(core, time.monotonic), platform


async def measure_rounds(vms):
    """Return figures of rounds in which one VM is on its way."""
    store, platform = make_region(vms)
    keeper = PoolKeeper(
        store,
        QuietPlatform(platform),
        'bench',
        make_policy,
        lambda _entry: True,
    )
    await keeper.step(time.time())
    rows = []
    for _ in range(REPEATS):
        store.listed = 0
        store.calls.clear()
        before = time.process_time()
        (await keeper.step(time.time())).unwrap()
        cpu = time.process_time() - before
        reads = store.calls['list'] + store.calls['get']
        rows.append((cpu * 1e6, store.listed, reads))
    return rows, len(json.dumps(platform.list_vms()))


def measure():
    """Return all slopes of the pool keeper."""
    cpu, listed, reads, vm_list = [], [], [], []
    for vms in VMS:
        rows, size = asyncio.run(measure_rounds(vms))
        cpu.extend((vms, row[0]) for row in rows)
        listed.extend((vms, row[1]) for row in rows)
        reads.extend((vms, row[2]) for row in rows)
        vm_list.append((vms, size))
    return {
        'keeper_round_cpu': fit_line('us of CPU a round', 'VM', cpu),
        'keeper_round_bytes': fit_line('bytes read a round', 'VM', listed),
        'keeper_round_reads': fit_line('store reads a round', 'VM', reads),
        'vm_list_bytes': fit_line('bytes', 'VM', vm_list),
        'vm_record_bytes': fit_line('bytes', 'VM', measure_records()),
        'solve_seconds': fit_line('seconds', 'VM', measure_solve()),
    }


def measure_records():
    """Return the bytes of all records, keys included."""
    return [
        (vms, sum(len(pack_vm(make_record(n))) + 11 for n in range(vms)))
        for vms in VMS
    ]


def measure_solve():
    """Return the seconds of an assignment by the VMs of the region."""
    points = []
    whole = pools_solve.VMS
    for vms in SOLVED:
        pools_solve.VMS = vms
        for seed in range(2):
            racks, demands = pools_solve.make_region(seed)
            demands = [
                dataclasses.replace(
                    demand,
                    vms=demand.vms * vms // whole,
                    at_once=40 * vms // whole,
                )
                for demand in demands
            ]
            model = pools_solve.AssignmentModel(racks, demands, 'pool0')
            begun = time.perf_counter()
            model.solve().unwrap()
            points.append((vms, time.perf_counter() - begun))
    pools_solve.VMS = whole
    return points
