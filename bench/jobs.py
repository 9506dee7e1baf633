"""Cost of jobs: start of urgent work, store writes and stored bytes."""

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

from standins.memorystore import MemoryStore
from standins.storecore import StoreCore
from standins.tasks import TaskRunner
from standins.virtualtime import run_virtual
from verbenapost.coordination.jobs.owner import JobOwner, OwnerPorts
from verbenapost.coordination.jobs.recordstore import JobRecordStore
from verbenapost.coordination.writes import ResolvingWriter
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.tasks import TaskOrder
from verbenapost.state.jobs import JobBatch, JobRecord, make_job_id, pack_batch

POOL = 'heavy'

#: VMs of the pool, and entries that accept jobs.
VMS = 6
ENTRIES = 6

#: Latency of a store call, and maximum random addition, in seconds.
STORE_LATENCY = 0.005
STORE_JITTER = 0.005

#: Latency of a call to a worker, in seconds.
CALL_LATENCY = 0.005

RESULTS = Path(__file__).parent / 'results' / 'jobs.json'


class LocalTaskPort:
    """Task port to workers in the same process.

    :param workers: tasks of each worker by address.
    :param now: returns the time in seconds.
    """

    def __init__(self, workers, now):
        self.workers = workers
        self.now = now

    async def start(self, address, order: TaskOrder):
        """Start a task."""
        return await self._call(address, 'start', order)

    async def renew(self, address, attempts, lease):
        """Renew the leases of some attempts."""
        return await self._call(address, 'renew', attempts, lease)

    async def checkpoint(self, address, task, attempt):
        """Checkpoint a task."""
        return await self._call(address, 'checkpoint', task, attempt)

    async def throttle(self, address, task, attempt, share):
        """Limit a task to a share of its resources."""
        return await self._call(address, 'throttle', task, attempt, share)

    async def stop(self, address, task, attempt):
        """Stop a task."""
        return await self._call(address, 'stop', task, attempt)

    async def _call(self, address, name, *params):
        await asyncio.sleep(CALL_LATENCY)
        worker = self.workers.get(address)
        if worker is None:
            return Err(Failure(ErrorKind.TARGET_REFUSED))
        return Ok(getattr(worker, name)(*params, self.now()))


class SimulatedPool:
    """A pool's job owner and workers, and the job record stores of all entries.

    :param now: returns the time in seconds.
    :param seed: seed of the stores and of the backoff.
    """

    def __init__(self, now, seed):
        self.now = now
        self.core = StoreCore(history=100_000)
        self.workers = {f'a{n}': TaskRunner() for n in range(VMS)}
        self.stores = []
        self.record_stores = []
        self.background_tasks = []
        for number in range(ENTRIES):
            self._add_entry(f'm{number}', f'{seed}-{number}')
        ports = OwnerPorts(
            self.stores[0],
            LocalTaskPort(self.workers, now),
            self.record_stores[0],
            now,
            now,
        )
        self.owner = JobOwner(ports, POOL, 'm0')
        addresses = {f'vm-{n}': f'a{n}' for n in range(VMS)}
        self.owner.configure(addresses, {})
        self.background_tasks.append(asyncio.create_task(self.owner.run()))

    def count_writes(self):
        """Return the number of store writes so far, of all entries together."""
        calls = sum((store.calls for store in self.stores), Counter())
        return calls['swap'] + calls['delete']

    def has_started(self, job):
        """Return whether a worker has started a job."""
        return any(
            name.startswith(f'{job}:')
            for worker in self.workers.values()
            for name in worker.starts
        )

    def stop(self):
        """Stop the owner and the record stores."""
        for task in self.background_tasks:
            task.cancel()

    def _add_entry(self, name, seed):
        rng = random.Random(seed)
        store = MemoryStore(self.core, self.now, seed)
        store.faults.latency = STORE_LATENCY
        store.faults.jitter = STORE_JITTER
        writer = ResolvingWriter(store, self.now, rng)
        record_store = JobRecordStore(store, writer, name, self.now)
        self.stores.append(store)
        self.record_stores.append(record_store)
        self.background_tasks.append(asyncio.create_task(record_store.run()))


def make_job(**changes):
    """Return the record of a job to submit.

    :param changes: fields that differ from those of an ordinary job.
    """
    record = JobRecord('', 'shop', 'heavy', POOL, cpu=2, memory=6, seconds=5)
    return dataclasses.replace(record, **changes)


def measure_urgent(seed, cpu, memory, seconds=3600):
    """Measure how soon an urgent job starts in a pool full of less urgent ones.

    :param seed: seed of the simulation.
    :param cpu: processors that the urgent job requires.
    :param memory: memory that the urgent job requires.
    :param seconds: run time of each less urgent job.
    :returns: virtual seconds from the submission until the job is stored and
        until it starts.
    """

    async def scenario(now):
        pool = SimulatedPool(now, seed)
        rng = random.Random(seed)
        for record_store in pool.record_stores:
            await asyncio.gather(
                *(
                    record_store.submit(make_job(seconds=seconds, urgency=6))
                    for _ in range(50)
                )
            )
        await asyncio.sleep(60 + rng.random())
        record = make_job(urgency=0, cpu=cpu, memory=memory, team='urgent')
        submitted_at = now()
        stored = await pool.record_stores[1].submit(record)
        accept_seconds = now() - submitted_at
        job = stored.unwrap().record.job
        while not pool.has_started(job):
            await asyncio.sleep(0.01)
        start_seconds = now() - submitted_at
        pool.stop()
        return accept_seconds, start_seconds

    return run_virtual(scenario)


def measure_flood(seed, rate, seconds):
    """Return store writes and latency while submissions flood all entries.

    :param seed: seed of the simulation.
    :param rate: mean number of submissions per second.
    :param seconds: virtual duration of the flood.
    """

    async def scenario(now):
        pool = SimulatedPool(now, seed)
        rng = random.Random(seed)
        await asyncio.sleep(2)
        latencies = []
        refused = Counter()

        async def submit():
            submitted_at = now()
            record_store = rng.choice(pool.record_stores)
            outcome = await record_store.submit(make_job(seconds=1))
            latencies.append(now() - submitted_at)
            if isinstance(outcome, Err):
                refused[outcome.err_value.kind.value] += 1

        before = pool.count_writes()
        started_at = now()
        tasks = []
        while now() - started_at < seconds:
            tasks.append(asyncio.create_task(submit()))
            await asyncio.sleep(rng.expovariate(rate))
        writes = (pool.count_writes() - before) / (now() - started_at)
        await asyncio.gather(*tasks)
        pool.stop()
        latencies.sort()
        return {
            'submissions': len(tasks),
            'refused': dict(refused),
            'writes_a_second': round(writes, 1),
            'accept_p50': round(latencies[len(latencies) // 2], 3),
            'accept_p99': round(latencies[int(len(latencies) * 0.99)], 3),
        }

    return run_virtual(scenario)


def measure_bytes(count=256, content=200):
    """Return the stored bytes of a waiting job.

    :param count: jobs that are stored in one batch.
    :param content: bytes of the content of each job.
    """
    waiting = [
        make_job(
            job=make_job_id('j0123456789ab-1', index), content=b'x' * content
        )
        for index in range(count)
    ]
    return {
        'jobs': count,
        'content': content,
        'bytes_a_job': len(pack_batch(JobBatch('w', tuple(waiting)))) / count,
    }


def summarise(rows):
    """Return median, minimum, maximum and number of some figures."""
    return {
        'median': round(statistics.median(rows), 3),
        'least': round(min(rows), 3),
        'most': round(max(rows), 3),
        'runs': len(rows),
    }


def main(runs=5, rate=1000, seconds=20):
    """Measure and write ``bench/results/jobs.json``."""
    demands = {
        'throttle': {'cpu': 2, 'memory': 1},
        'checkpoint': {'cpu': 6, 'memory': 24},
    }
    urgent = {}
    for action, demand in demands.items():
        pairs = [measure_urgent(seed, **demand) for seed in range(runs)]
        urgent[action] = {
            'accepted': summarise([pair[0] for pair in pairs]),
            'started': summarise([pair[1] for pair in pairs]),
        }
    floods = [measure_flood(seed, rate, seconds) for seed in range(runs)]
    report = {
        'python': platform.python_version(),
        'virtual_time': True,
        'urgent_start_seconds': urgent,
        'flood': {
            'rate': rate,
            'seconds': seconds,
            'writes_a_second': summarise(
                [row['writes_a_second'] for row in floods]
            ),
            'runs': floods,
        },
        'size': measure_bytes(),
    }
    RESULTS.write_text(f'{json.dumps(report, indent=2)}\n')
    print(json.dumps(report, indent=2))


if __name__ == '__main__':
    fire.Fire(main)
