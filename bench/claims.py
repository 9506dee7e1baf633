"""Cost of claims: store writes, added latency, bytes and takeover."""

import asyncio
import gc
import json
import platform
import random
import resource
import statistics
import time
import uuid
from pathlib import Path

import fire

from standins.core import StoreCore
from standins.memory import MemoryStore
from verbenapost.coordination.claims.keys import KeyWindow
from verbenapost.coordination.claims.owner import (
    ClaimOwner,
    ClaimPorts,
    ClaimSettings,
)
from verbenapost.coordination.claims.ring import Ring
from verbenapost.protocol.claims import ClaimGranted, ClaimKey, RecordOutcome
from verbenapost.state.claims import (
    ClaimRow,
    OutcomeRow,
    SlotRecord,
    pack_claims,
    pack_slot,
)

#: Seconds that a store call takes, and most that is added at random.
STORE_LATENCY = 0.002
STORE_JITTER = 0.002

#: Seconds between a grant and the report of its outcome.
RUN_TIME = 0.02

#: Seconds between two looks at the arrivals.
ARRIVAL_STEP = 0.001

BODY = b'{"certificate": "cs-0000000", "state": "issued"}'

RESULTS = Path(__file__).parent / 'results' / 'claims.json'


class Site:
    """One owner on a store in memory."""

    def __init__(self, seed, settings, post):
        self.core = StoreCore(history=10)
        self.store = MemoryStore(self.core, time.monotonic, seed)
        self.store.faults.latency = STORE_LATENCY
        self.store.faults.jitter = STORE_JITTER
        ports = ClaimPorts(
            self.store, time.monotonic, time.time, post, random.Random(seed)
        )
        self.owner = ClaimOwner(ports, 'bench', settings)


def make_key(chance, moment):
    """Return a UUIDv7 of a Unix time."""
    bits = int(moment * 1000) << 80 | 7 << 76 | 2 << 62
    bits |= chance.getrandbits(62)
    return uuid.UUID(int=bits)


class Load:
    """Claims that arrive at random at a given rate."""

    def __init__(self, rate, seconds, seed):
        self.rate = rate
        self.seconds = seconds
        self.chance = random.Random(seed)
        self.asked = {}
        self.waits = []
        self.refused = 0
        self.site = Site(seed, ClaimSettings(), self.take)

    def take(self, _entry, message):
        """Take an answer and report an outcome a little later."""
        if not isinstance(message, ClaimGranted):
            self.refused += 1
            return
        self.waits.append(time.monotonic() - self.asked[message.attempt])
        outcome = RecordOutcome(
            message.key,
            message.attempt,
            status=201,
            content_type='application/json',
            body=BODY,
        )
        loop = asyncio.get_running_loop()
        loop.call_later(RUN_TIME, self.site.owner.receive, 'entry', outcome)

    def ask(self, number):
        """Ask for one claim."""
        key = str(make_key(self.chance, time.time()))
        self.asked[number] = time.monotonic()
        asked = ClaimKey(key, number, b'8 bytes.', 10)
        self.site.owner.receive('entry', asked)

    async def run(self):
        """Run the load and return its figures."""
        task = asyncio.ensure_future(self.site.owner.run())
        while not self.site.owner.is_loaded:
            await asyncio.sleep(0.01)
        cpu = time.process_time()
        start = time.monotonic()
        due, number = start, 0
        while due < start + self.seconds:
            while due <= time.monotonic():
                self.ask(number)
                number += 1
                due += self.chance.expovariate(self.rate)
            await asyncio.sleep(ARRIVAL_STEP)
        elapsed = time.monotonic() - start
        writes = self.site.owner.writes
        cpu = time.process_time() - cpu
        await asyncio.sleep(1)
        task.cancel()
        return self.summarise(number, elapsed, writes, cpu)

    def summarise(self, number, elapsed, writes, cpu):
        """Return the figures of the run."""
        entries = self.site.core.list_prefix('claims/', 0).entries
        size = sum(len(entry.value) for entry in entries)
        cuts = statistics.quantiles(self.waits, n=100)
        return {
            'claims_per_second': round(number / elapsed),
            'store_writes_per_second': round(writes / elapsed, 1),
            'added_latency_median_ms': round(cuts[49] * 1000, 2),
            'added_latency_p99_ms': round(cuts[98] * 1000, 2),
            'bytes_per_claim': round(size / number, 1),
            'largest_record_bytes': max(len(one.value) for one in entries),
            'process_cpu_us_per_claim': round(cpu / number * 1e6, 1),
            'unanswered': number - len(self.waits),
            'refused': self.refused,
        }


def fill_ring(core, slots, claims, chance):
    """Fill every slot of a ring with claims and their outcomes."""
    window = KeyWindow()
    ring = Ring(0, slots)
    start = time.time() - window.life
    earlier = ()
    for sequence in range(1, slots + 1):
        moment = start + window.life * sequence / slots
        rows = [
            ClaimRow(make_key(chance, moment).bytes, number, b'8 bytes.')
            for number in range(claims // slots)
        ]
        outcomes = tuple(
            OutcomeRow(row.key, row.attempt, released=False, status=201)
            for row in earlier
        )
        record = SlotRecord(
            slots, sequence, 'w', 0, pack_claims(rows), outcomes
        )
        core.swap(ring.make_key(sequence), 0, pack_slot(record), now=0)
        earlier = rows


async def watch_loop(gaps):
    """Note how long the event loop was busy at a stretch."""
    while True:
        before = time.monotonic()
        await asyncio.sleep(ARRIVAL_STEP)
        gaps.append(time.monotonic() - before - ARRIVAL_STEP)


async def measure_takeover(slots, claims, seed):
    """Return the seconds from start to the first grant on a full ring."""
    chance = random.Random(seed)
    granted = asyncio.Event()
    settings = ClaimSettings(slots=slots)
    site = Site(seed, settings, lambda *_: granted.set())
    fill_ring(site.core, slots, claims, chance)
    gc.collect()
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    gaps = []
    watcher = asyncio.ensure_future(watch_loop(gaps))
    start = time.monotonic()
    task = asyncio.ensure_future(site.owner.run())
    key = str(make_key(chance, time.time()))
    site.owner.receive('entry', ClaimKey(key, 2**40, b'8 bytes.', 60))
    while not site.owner.is_loaded:
        await asyncio.sleep(ARRIVAL_STEP)
    loaded = time.monotonic() - start
    await asyncio.sleep(0.2)
    task.cancel()
    watcher.cancel()
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    entries = site.core.list_prefix('claims/', 0).entries
    return {
        'slots': slots,
        'claims': site.owner.remembered,
        'ring_megabytes': round(sum(len(e.value) for e in entries) / 1e6, 1),
        'list_calls': site.store.calls['list'],
        'seconds_to_load': round(loaded, 2),
        'longest_busy_stretch_ms': round(max(gaps) * 1000, 1),
        'memory_growth_megabytes': round((peak - memory) / 1024, 1),
        'answered': granted.is_set(),
    }


def combine(rows):
    """Return median, least and greatest of each figure."""
    return {
        name: {
            'median': statistics.median(row[name] for row in rows),
            'least': min(row[name] for row in rows),
            'greatest': max(row[name] for row in rows),
        }
        for name in rows[0]
    }


def run_bench(runs=5, seconds=6, *, save=True):
    """Measure and print; write JSON beside it."""
    report = {
        'machine': platform.machine(),
        'python': platform.python_version(),
        'store_latency_ms': [
            STORE_LATENCY * 1000,
            (STORE_LATENCY + STORE_JITTER) * 1000,
        ],
        'write_rate': ClaimSettings().write_rate,
        'runs': runs,
    }
    for rate in (1000, 10_000):
        rows = [
            asyncio.run(Load(rate, seconds, seed).run()) for seed in range(runs)
        ]
        report[f'load_{rate}'] = combine(rows)
    settings = ClaimSettings()
    takeover = measure_takeover(settings.slots, 300_000, 1)
    report['takeover'] = asyncio.run(takeover)
    text = json.dumps(report, indent=2)
    print(text)
    if save:
        RESULTS.parent.mkdir(exist_ok=True)
        RESULTS.write_text(f'{text}\n')


if __name__ == '__main__':
    fire.Fire(run_bench)
