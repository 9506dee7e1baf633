"""Accepted jobs: start of urgent work, store writes, bytes of a job."""

import asyncio
import dataclasses
import json
import platform
import random
import statistics
from collections import Counter
from pathlib import Path

import fire
from result import Err, Ok

from standins.core import StoreCore
from standins.memory import MemoryStore
from standins.tasks import TaskDesk
from standins.virtual import run_virtual
from verbenapost.coordination.jobs.ledger import JobLedger
from verbenapost.coordination.jobs.owner import JobOwner, OwnerPorts
from verbenapost.coordination.writes import SettledWriter
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.tasks import TaskOrder
from verbenapost.state.jobs import JobBatch, JobRecord, name_job, pack_batch

POOL = 'heavy'
VMS = 6
ENTRIES = 6

#: Seconds that a store call takes, and most that is added at random.
STORE_LATENCY = 0.005
STORE_JITTER = 0.005

#: Seconds that a call of a worker takes.
CALL_LATENCY = 0.005

RESULTS = Path(__file__).parent / 'results' / 'jobs.json'


class Tasks:
    """Task port to desks in memory."""

    def __init__(self, desks, now):
        self.desks = desks
        self.now = now

    async def start(self, address, order: TaskOrder):
        """Start a task."""
        return await self._call(address, 'start', order)

    async def renew(self, address, attempts, lease):
        """Renew leases."""
        return await self._call(address, 'renew', attempts, lease)

    async def checkpoint(self, address, task, attempt):
        """Save a task."""
        return await self._call(address, 'checkpoint', task, attempt)

    async def throttle(self, address, task, attempt, share):
        """Slow a task."""
        return await self._call(address, 'throttle', task, attempt, share)

    async def stop(self, address, task, attempt):
        """End a task."""
        return await self._call(address, 'stop', task, attempt)

    async def _call(self, address, name, *params):
        await asyncio.sleep(CALL_LATENCY)
        desk = self.desks.get(address)
        if desk is None:
            return Err(Failure(ErrorKind.TARGET_REFUSED))
        return Ok(getattr(desk, name)(*params, self.now()))


class Pool:
    """One owner, its workers and the ledgers of all entries."""

    def __init__(self, now, seed):
        self.now = now
        self.core = StoreCore(history=100_000)
        self.desks = {f'a{n}': TaskDesk() for n in range(VMS)}
        self.stores = []
        self.ledgers = []
        self.running = []
        for number in range(ENTRIES):
            self._add_entry(f'm{number}', f'{seed}-{number}')
        ports = OwnerPorts(
            self.stores[0], Tasks(self.desks, now), self.ledgers[0], now, now
        )
        self.owner = JobOwner(ports, POOL, 'm0')
        addresses = {f'vm-{n}': f'a{n}' for n in range(VMS)}
        self.owner.configure(addresses, {})
        self.running.append(asyncio.create_task(self.owner.run()))

    def count_writes(self):
        """Return the writes of all stores so far."""
        calls = sum((store.calls for store in self.stores), Counter())
        return calls['swap'] + calls['delete']

    def count_started(self, job):
        """Tell whether a worker has started a job."""
        return any(
            name.startswith(f'{job}:')
            for desk in self.desks.values()
            for name in desk.starts
        )

    def stop(self):
        """End the owner and the ledgers."""
        for task in self.running:
            task.cancel()

    def _add_entry(self, name, seed):
        chance = random.Random(seed)
        store = MemoryStore(self.core, self.now, seed)
        store.faults.latency = STORE_LATENCY
        store.faults.jitter = STORE_JITTER
        writer = SettledWriter(store, self.now, chance)
        ledger = JobLedger(store, writer, name, self.now)
        self.stores.append(store)
        self.ledgers.append(ledger)
        self.running.append(asyncio.create_task(ledger.run()))


def make_job(**changes):
    """Return a submission."""
    record = JobRecord('', 'shop', 'heavy', POOL, cpu=2, memory=6, seconds=5)
    return dataclasses.replace(record, **changes)


def measure_urgent(seed, cpu, memory, seconds=3600):
    """Return the virtual seconds until an urgent task starts."""

    async def scenario(now):
        pool = Pool(now, seed)
        chance = random.Random(seed)
        for ledger in pool.ledgers:
            await asyncio.gather(
                *(
                    ledger.submit(make_job(seconds=seconds, urgency=6))
                    for _ in range(50)
                )
            )
        await asyncio.sleep(60 + chance.random())
        record = make_job(urgency=0, cpu=cpu, memory=memory, team='urgent')
        asked = now()
        stored = await pool.ledgers[1].submit(record)
        accepted = now() - asked
        job = stored.unwrap().record.job
        while not pool.count_started(job):
            await asyncio.sleep(0.01)
        waited = now() - asked
        pool.stop()
        return accepted, waited

    return run_virtual(scenario)


def measure_flood(seed, rate, seconds):
    """Return store writes a second while submissions flood all entries."""

    async def scenario(now):
        pool = Pool(now, seed)
        chance = random.Random(seed)
        await asyncio.sleep(2)
        waits = []
        refused = Counter()

        async def submit():
            asked = now()
            ledger = chance.choice(pool.ledgers)
            outcome = await ledger.submit(make_job(seconds=1))
            waits.append(now() - asked)
            if isinstance(outcome, Err):
                refused[outcome.err_value.kind.value] += 1

        before = pool.count_writes()
        began = now()
        tasks = []
        while now() - began < seconds:
            tasks.append(asyncio.create_task(submit()))
            await asyncio.sleep(chance.expovariate(rate))
        writes = (pool.count_writes() - before) / (now() - began)
        await asyncio.gather(*tasks)
        pool.stop()
        waits.sort()
        return {
            'submissions': len(tasks),
            'refused': dict(refused),
            'writes_a_second': round(writes, 1),
            'accept_p50': round(waits[len(waits) // 2], 3),
            'accept_p99': round(waits[int(len(waits) * 0.99)], 3),
        }

    return run_virtual(scenario)


def measure_bytes(count=256, content=200):
    """Return the stored bytes of a waiting job and of one that is done."""
    waiting = [
        make_job(job=name_job('j0123456789ab-1', index), content=b'x' * content)
        for index in range(count)
    ]
    return {
        'jobs': count,
        'content': content,
        'bytes_a_job': len(pack_batch(JobBatch('w', tuple(waiting)))) / count,
    }


def summarize(rows):
    """Return median and extremes."""
    return {
        'median': round(statistics.median(rows), 3),
        'least': round(min(rows), 3),
        'most': round(max(rows), 3),
        'runs': len(rows),
    }


def main(runs=5, rate=1000, seconds=20):
    """Measure and write ``bench/results/jobs.json``."""
    shapes = {
        'throttle': {'cpu': 2, 'memory': 1},
        'checkpoint': {'cpu': 6, 'memory': 24},
    }
    urgent = {}
    for name, shape in shapes.items():
        pairs = [measure_urgent(seed, **shape) for seed in range(runs)]
        urgent[name] = {
            'accepted': summarize([pair[0] for pair in pairs]),
            'started': summarize([pair[1] for pair in pairs]),
        }
    floods = [measure_flood(seed, rate, seconds) for seed in range(runs)]
    shown = {
        'python': platform.python_version(),
        'virtual_time': True,
        'urgent_start_seconds': urgent,
        'flood': {
            'rate': rate,
            'seconds': seconds,
            'writes_a_second': summarize(
                [row['writes_a_second'] for row in floods]
            ),
            'runs': floods,
        },
        'size': measure_bytes(),
    }
    RESULTS.write_text(f'{json.dumps(shown, indent=2)}\n')
    print(json.dumps(shown, indent=2))


if __name__ == '__main__':
    fire.Fire(main)
