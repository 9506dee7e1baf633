"""Job owners, record stores and workers on a memory store in virtual time."""

import asyncio
import contextlib
import dataclasses
import itertools
import random

from result import Err, Ok

from standins.memorystore import MemoryStore
from standins.storecore import StoreCore
from standins.tasks import TaskRunner
from verbenapost.coordination.jobs.owner import JobOwner, OwnerPorts
from verbenapost.coordination.jobs.recordstore import JobRecordStore
from verbenapost.coordination.writes import ResolvingWriter
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.state.jobs import JobRecord, unpack_batch

POOL = 'heavy'

#: Seconds before each answer of a worker.
CALL_LATENCY = 0.01


class Tasks:
    """Task port of one daemon to in-memory workers.

    :ivar lose: probability that an answer is lost.
    """

    def __init__(self, site, rng):
        self.site = site
        self.rng = rng
        self.lose = 0.0

    async def start(self, address, order):
        return await self._call(address, 'start', order)

    async def renew(self, address, attempts, lease):
        return await self._call(address, 'renew', attempts, lease)

    async def checkpoint(self, address, task, attempt):
        return await self._call(address, 'checkpoint', task, attempt)

    async def throttle(self, address, task, attempt, share):
        return await self._call(address, 'throttle', task, attempt, share)

    async def stop(self, address, task, attempt):
        return await self._call(address, 'stop', task, attempt)

    async def _call(self, address, name, *params):
        await asyncio.sleep(CALL_LATENCY)
        if address in self.site.cut or address not in self.site.runners:
            return Err(Failure(ErrorKind.TARGET_REFUSED))
        runner = self.site.runners[address]
        answer = getattr(runner, name)(*params, self.site.now())
        if self.rng.random() < self.lose:
            return Err(Failure(ErrorKind.TARGET_FAILED))
        if answer is False:
            return Err(Failure(ErrorKind.CONFLICT))
        return Ok(answer)


class Member:
    """A daemon with a record store and, while it owns the pool, a job owner."""

    def __init__(self, site, name):
        rng = random.Random(f'{site.seed}-{name}')
        self.site = site
        self.name = name
        self.store = MemoryStore(site.core, site.now, rng.random())
        self.store.faults.latency = 0.005
        self.tasks = Tasks(site, rng)
        writer = ResolvingWriter(self.store, site.now, rng)
        self.record_store = JobRecordStore(self.store, writer, name, site.now)
        self.owner = None
        self._running = [asyncio.create_task(self.record_store.run())]
        self._owning = None

    def own(self):
        """Become the owner of the pool's jobs."""
        ports = OwnerPorts(
            self.store,
            self.tasks,
            self.record_store,
            self.site.now,
            self.site.now,
        )
        self.owner = JobOwner(ports, POOL, self.name)
        self.owner.configure(self.site.addresses, {})
        self._owning = asyncio.create_task(self.owner.run())

    def disown(self):
        """Stop owning the pool's jobs."""
        if self._owning is not None:
            self._owning.cancel()
            self._owning = None

    async def close(self):
        self.disown()
        for task in self._running:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task


class JobSite:
    """A pool with its workers and the daemons that may own it."""

    def __init__(self, now, seed=0, vms=3, cpu=8):
        self.now = now
        self.seed = seed
        self.core = StoreCore(history=100_000)
        self.runners = {f'a{n}': TaskRunner(cpu=cpu) for n in range(vms)}
        self.addresses = {f'vm-{n}': f'a{n}' for n in range(vms)}
        self.cut = set()

    def make_member(self, name):
        return Member(self, name)

    def read_jobs(self):
        listing = self.core.list_prefix('jobs/', self.now())
        return {
            record.job: record
            for entry in listing.entries
            for record in unpack_batch(entry.value).records
        }

    def read_history(self):
        """Return each job's distinct records in order of revision."""
        history = {}
        for event in self.core.read_events('jobs/', 0, self.now()).events:
            if event.value is None:
                continue
            for record in unpack_batch(event.value).records:
                versions = history.setdefault(record.job, [])
                if not versions or versions[-1] != record:
                    versions.append(record)
        return history

    def find_completions(self, job):
        return [
            int(name.rpartition(':')[2])
            for runner in self.runners.values()
            for name, count in runner.completions.items()
            for _ in range(count)
            if name.rpartition(':')[0] == job
        ]


def make_job(**changes):
    record = JobRecord('', 'shop', 'heavy', POOL, cpu=2, memory=2, seconds=5)
    return dataclasses.replace(record, **changes)


def find_faults(site, accepted):
    """Return the rule violations in the history of accepted jobs."""
    faults = []
    history = site.read_history()
    for job in accepted:
        rows = history.get(job, [])
        if not rows:
            faults.append(f'{job} was lost')
            continue
        faults.extend(find_record_faults(job, rows))
        last = rows[-1]
        if last.state == 'done':
            runs = site.find_completions(job).count(last.attempt)
            if runs != 1:
                faults.append(f'{job}: {runs} runs of its last attempt')
    return faults


def find_record_faults(job, rows):
    """Return the rule violations in the records of one job."""
    faults = []
    if not rows[-1].state.ended:
        faults.append(f'{job} is {rows[-1].state}')
    for before, after in itertools.pairwise(rows):
        if before.state.ended:
            faults.append(f'{job} changed after its end')
        if after.attempt < before.attempt:
            faults.append(f'{job}: attempt went back')
        if after.state == 'done' and before.state != 'running':
            faults.append(f'{job}: result of a replaced attempt')
    return faults
