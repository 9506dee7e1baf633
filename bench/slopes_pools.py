"""Growth of the cost of the pool keeper and of the VM records."""

import asyncio
import dataclasses
import json
import time

from result import Ok

from bench import pools_solve
from bench.slopes_fit import fit_line
from standins.memorystore import MemoryStore
from standins.storecore import StoreCore
from standins.vm_platform import Platform, PlatformVm
from verbenapost.coordination.pools.keeper import PoolKeeper
from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.protocol.platform import ListedVm, VmOperation, VmStatus
from verbenapost.state.documents import PoolSpec, ServiceSpec
from verbenapost.state.vms import VmRecord, VmState, pack_vm

#: Measured numbers of VMs of a region, and of VMs in a solved assignment.
VMS = (100, 300, 870)
SOLVED_VMS = (220, 435, 870)
POOLS = 11
REPEATS = 3


class CountingStore(MemoryStore):
    """Store in memory that counts the bytes of its list responses."""

    read_bytes = 0

    async def list_prefix(self, prefix):
        """List keys with a prefix; count the bytes of keys and values."""
        answer = await super().list_prefix(prefix)
        rows = answer.ok_value.entries
        self.read_bytes += sum(len(row.key) + len(row.value) for row in rows)
        return answer


class DrainingPlatform:
    """Platform on which no drain ends.

    :param platform: platform whose VM list is used.
    """

    def __init__(self, platform):
        self._platform = platform

    async def list_vms(self):
        """Return the VM list."""
        return Ok([ListedVm(**row) for row in self._platform.list_vms()])

    async def inspect(self, name):
        """Return the status of a VM, always draining."""
        return Ok(VmStatus(name, VmOperation.DRAINING, 1, 'pool0'))

    async def drain(self, name, boot):
        """Return the status of a VM that starts to drain."""
        return Ok(VmStatus(name, VmOperation.DRAINING, boot, 'pool0'))


def make_policy():
    """Return the configuration of pools with one service each."""
    names = [f'pool{number}' for number in range(POOLS)]
    specs = {name: PoolSpec(vms=1) for name in names}
    specs['pool0'] = PoolSpec(vms=0, spare=True)
    services = {f'svc-{name}': ServiceSpec(name) for name in names}
    return FleetPolicy(specs, services)


def make_record(number):
    """Return the record of a VM in service."""
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
    """Return a store and a platform with VMs, the first of which drains."""
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
        platform.vms[row['name']] = PlatformVm(**row)
    platform.add(rows[-1])
    return CountingStore(core, time.monotonic), platform


async def measure_rounds(vms):
    """Measure rounds of a pool keeper while one VM drains.

    :param vms: number of VMs.
    :returns: microseconds of CPU, bytes read and store reads of each round;
        and the bytes of the VM list.
    """
    store, platform = make_region(vms)
    keeper = PoolKeeper(
        store,
        DrainingPlatform(platform),
        'bench',
        make_policy,
        lambda _entry: True,
    )
    await keeper.step(time.time())
    rows = []
    for _ in range(REPEATS):
        store.read_bytes = 0
        store.calls.clear()
        before = time.process_time()
        (await keeper.step(time.time())).unwrap()
        cpu = time.process_time() - before
        reads = store.calls['list'] + store.calls['get']
        rows.append((cpu * 1e6, store.read_bytes, reads))
    return rows, len(json.dumps(platform.list_vms()))


def measure():
    """Return the fitted lines of the pool keeper."""
    cpu, read_bytes, reads, vm_list = [], [], [], []
    for vms in VMS:
        rows, size = asyncio.run(measure_rounds(vms))
        cpu.extend((vms, row[0]) for row in rows)
        read_bytes.extend((vms, row[1]) for row in rows)
        reads.extend((vms, row[2]) for row in rows)
        vm_list.append((vms, size))
    return {
        'keeper_round_cpu': fit_line('us of CPU a round', 'VM', cpu),
        'keeper_round_bytes': fit_line('bytes read a round', 'VM', read_bytes),
        'keeper_round_reads': fit_line('store reads a round', 'VM', reads),
        'vm_list_bytes': fit_line('bytes', 'VM', vm_list),
        'vm_record_bytes': fit_line('bytes', 'VM', measure_records()),
        'solve_seconds': fit_line('seconds', 'VM', measure_solve()),
    }


def measure_records():
    """Return the bytes of all records, each with its key of 11 bytes."""
    return [
        (vms, sum(len(pack_vm(make_record(n))) + 11 for n in range(vms)))
        for vms in VMS
    ]


def measure_solve():
    """Return the solver's seconds for each measured number of VMs."""
    points = []
    region_vms = pools_solve.VMS
    for vms in SOLVED_VMS:
        pools_solve.VMS = vms
        for seed in range(2):
            racks, demands = pools_solve.make_region(seed)
            demands = [
                dataclasses.replace(
                    demand,
                    vms=demand.vms * vms // region_vms,
                    min_after_loss=40 * vms // region_vms,
                )
                for demand in demands
            ]
            model = pools_solve.AssignmentModel(racks, demands, 'pool0')
            started = time.perf_counter()
            model.solve().unwrap()
            points.append((vms, time.perf_counter() - started))
    pools_solve.VMS = region_vms
    return points
