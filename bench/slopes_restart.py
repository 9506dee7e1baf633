"""Store calls of a region that restarts at once, and of its watches."""

import asyncio
import random
from collections import Counter

import structlog

from bench.slopes_fit import fit_line
from bench.slopes_pools import make_record
from standins.core import StoreCore
from standins.memory import MemoryStore
from standins.virtual import run_virtual
from verbenapost.coordination.directory import VmDirectory
from verbenapost.daemon.following import follow_store
from verbenapost.state.vms import pack_vm

#: Daemons of a region, and seconds of the store's outage and after it.
DAEMONS = (36, 100, 200)
OUTAGE = 30.0
AFTER = 30.0

#: VM changes in a burst, their pace a second, and VMs of the region.
BURSTS = (20, 60, 180)
PACE = 20
VMS = 300


class MeteredStore(MemoryStore):
    """Store in memory that counts its reads by the second."""

    def __init__(self, core, now, seed):
        super().__init__(core, now, seed)
        self.faults.latency = 0.002
        self.faults.jitter = 0.002
        self.reads = Counter()

    async def list_prefix(self, prefix):
        """List and count."""
        self.reads[int(self._now())] += 1
        return await super().list_prefix(prefix)

    async def watch(self, prefix, after, wait):
        """Watch and count."""
        self.reads[int(self._now())] += 1
        return await super().watch(prefix, after, wait)


def fill_core():
    """Return a store with the records of a region."""
    core = StoreCore()
    for number in range(VMS):
        record = make_record(number)
        core.swap(f'vm/{record.name}', 0, pack_vm(record), now=0)
    return core


def start_followers(daemons, core, now):
    """Start daemons that all follow the VM records; return their parts."""
    stores = [MeteredStore(core, now, seed) for seed in range(daemons)]
    followers = [VmDirectory(store) for store in stores]
    tasks = [
        asyncio.ensure_future(follow_store('vms', follower))
        for follower in followers
    ]
    return stores, tasks


def sum_reads(stores):
    """Return the reads of each second of all daemons together."""
    total = Counter()
    for store in stores:
        total.update(store.reads)
    return total


def restart(daemons):
    """Return the reads of each second around an outage's end."""

    async def scenario(now):
        core = fill_core()
        stores, tasks = start_followers(daemons, core, now)
        for store in stores:
            store.faults.refuse = 1
        await asyncio.sleep(OUTAGE)
        for store in stores:
            store.faults.refuse = 0
        await asyncio.sleep(AFTER)
        for task in tasks:
            task.cancel()
        return sum_reads(stores)

    random.seed(daemons)
    return run_virtual(scenario)


def burst(daemons, changes):
    """Return the reads that follow a burst of VM changes."""

    async def scenario(now):
        core = fill_core()
        stores, tasks = start_followers(daemons, core, now)
        await asyncio.sleep(1.5)
        before = sum_reads(stores).total()
        for turn in range(changes):
            key = f'vm/cs-{turn:05d}'
            entry = core.get(key, now())
            core.swap(key, entry.revision, entry.value, now=now())
            await asyncio.sleep(1 / PACE)
        await asyncio.sleep(1)
        for task in tasks:
            task.cancel()
        return sum_reads(stores).total() - before

    return run_virtual(scenario)


def measure():
    """Return the slopes of watches and the course of a restart."""
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    courses = {}
    peaks, starts = [], []
    for daemons in DAEMONS:
        reads = restart(daemons)
        courses[str(daemons)] = [reads[second] for second in range(60)]
        peaks.append((daemons, max(reads[s] for s in range(28, 60))))
        starts.append((daemons, reads[0]))
    reads = [(changes, burst(36, changes) / 36) for changes in BURSTS]
    slopes = {
        'restart_first_second': fit_line('reads', 'daemon', starts),
        'restart_after_outage': fit_line('reads a second', 'daemon', peaks),
        'watch_reads': fit_line('reads of one daemon', 'change', reads),
    }
    return slopes, courses
