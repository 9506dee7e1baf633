"""Store reads of a region whose daemons restart together, and of watches."""

import asyncio
import random
from collections import Counter

import structlog

from bench.slopes_fit import fit_line
from bench.slopes_pools import make_record
from standins.memorystore import MemoryStore
from standins.storecore import StoreCore
from standins.virtualtime import run_virtual
from verbenapost.coordination.directory import VmDirectory
from verbenapost.daemon.storefollower import follow_store
from verbenapost.state.vms import pack_vm

#: Measured numbers of daemons of a region, and durations of the store's outage
#: and of the time after it, in seconds.
DAEMONS = (36, 100, 200)
OUTAGE_SECONDS = 30.0
AFTER_SECONDS = 30.0

#: Measured numbers of VM changes in a burst, their rate per second, and number
#: of VMs of the region.
BURST_CHANGES = (20, 60, 180)
CHANGES_PER_SECOND = 20
VMS = 300


class MeteredStore(MemoryStore):
    """Store in memory that counts its reads in each second."""

    def __init__(self, core, now, seed):
        super().__init__(core, now, seed)
        self.faults.latency = 0.002
        self.faults.jitter = 0.002
        self.reads = Counter()

    async def list_prefix(self, prefix):
        """Count the read and list keys with a prefix."""
        self.reads[int(self._now())] += 1
        return await super().list_prefix(prefix)

    async def watch(self, prefix, after, wait):
        """Count the read and wait for events of a prefix."""
        self.reads[int(self._now())] += 1
        return await super().watch(prefix, after, wait)


def fill_core():
    """Return a store with the VM records of a region."""
    core = StoreCore()
    for number in range(VMS):
        record = make_record(number)
        core.swap(f'vm/{record.name}', 0, pack_vm(record), now=0)
    return core


def start_followers(daemons, core, now):
    """Start one follower of the VM records for each daemon.

    :param daemons: number of daemons.
    :param core: store with the VM records.
    :param now: returns the virtual time in seconds.
    :returns: stores and tasks of the daemons.
    """
    stores = [MeteredStore(core, now, seed) for seed in range(daemons)]
    followers = [VmDirectory(store) for store in stores]
    tasks = [
        asyncio.ensure_future(follow_store('vms', follower))
        for follower in followers
    ]
    return stores, tasks


def sum_reads(stores):
    """Return the reads in each second, of all daemons together."""
    total = Counter()
    for store in stores:
        total.update(store.reads)
    return total


def measure_restart(daemons):
    """Return the reads in each second during and after a store outage."""

    async def scenario(now):
        core = fill_core()
        stores, tasks = start_followers(daemons, core, now)
        for store in stores:
            store.faults.refuse = 1
        await asyncio.sleep(OUTAGE_SECONDS)
        for store in stores:
            store.faults.refuse = 0
        await asyncio.sleep(AFTER_SECONDS)
        for task in tasks:
            task.cancel()
        return sum_reads(stores)

    random.seed(daemons)
    return run_virtual(scenario)


def measure_burst(daemons, changes):
    """Return the number of reads that a burst of VM changes causes."""

    async def scenario(now):
        core = fill_core()
        stores, tasks = start_followers(daemons, core, now)
        await asyncio.sleep(1.5)
        before = sum_reads(stores).total()
        for turn in range(changes):
            key = f'vm/cs-{turn:05d}'
            entry = core.get(key, now())
            core.swap(key, entry.revision, entry.value, now=now())
            await asyncio.sleep(1 / CHANGES_PER_SECOND)
        await asyncio.sleep(1)
        for task in tasks:
            task.cancel()
        return sum_reads(stores).total() - before

    return run_virtual(scenario)


def measure():
    """Return the fitted lines, and the reads in each second of a restart.

    The reads are keyed by the number of daemons, as text.
    """
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    restart_reads = {}
    peaks, starts = [], []
    for daemons in DAEMONS:
        reads = measure_restart(daemons)
        restart_reads[str(daemons)] = [reads[second] for second in range(60)]
        peaks.append((daemons, max(reads[index] for index in range(28, 60))))
        starts.append((daemons, reads[0]))
    reads = [
        (changes, measure_burst(36, changes) / 36) for changes in BURST_CHANGES
    ]
    slopes = {
        'restart_first_second': fit_line('reads', 'daemon', starts),
        'restart_after_outage': fit_line('reads a second', 'daemon', peaks),
        'watch_reads': fit_line('reads of one daemon', 'change', reads),
    }
    return slopes, restart_reads
