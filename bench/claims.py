"""Cost of claims: store writes, latency, stored bytes and takeover time."""

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

from standins.memorystore import MemoryStore
from standins.storecore import StoreCore
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
    RingSlotRecord,
    pack_claims,
    pack_slot,
)

#: Latency of a store call, and maximum random addition, in seconds.
STORE_LATENCY = 0.002
STORE_JITTER = 0.002

#: Seconds between a grant and the report of its outcome.
RUN_TIME = 0.02

#: Seconds between two checks for due claims, and between two samples of the
#: event loop.
POLL_INTERVAL = 0.001

BODY = b'{"certificate": "cs-0000000", "state": "issued"}'

RESULTS = Path(__file__).parent / 'results' / 'claims.json'


class OwnerHarness:
    """One claim owner with a store in memory.

    :param seed: seed of the store's and the owner's random numbers.
    :param settings: settings of the claim owner.
    :param post: receives the answers of the owner.
    """

    def __init__(self, seed, settings, post):
        self.core = StoreCore(history=10)
        self.store = MemoryStore(self.core, time.monotonic, seed)
        self.store.faults.latency = STORE_LATENCY
        self.store.faults.jitter = STORE_JITTER
        ports = ClaimPorts(
            self.store, time.monotonic, time.time, post, random.Random(seed)
        )
        self.owner = ClaimOwner(ports, 'bench', settings)


def make_key(rng, timestamp):
    """Return a UUIDv7 for a Unix time in seconds."""
    bits = int(timestamp * 1000) << 80 | 7 << 76 | 2 << 62
    bits |= rng.getrandbits(62)
    return uuid.UUID(int=bits)


class LoadGenerator:
    """Sends claims to an owner at random intervals.

    :param rate: mean number of claims per second.
    :param seconds: duration of the load.
    :param seed: seed of the intervals and keys.
    """

    def __init__(self, rate, seconds, seed):
        self.rate = rate
        self.seconds = seconds
        self.rng = random.Random(seed)
        self.sent_at = {}
        self.latencies = []
        self.refused = 0
        self.harness = OwnerHarness(seed, ClaimSettings(), self.receive_answer)

    def receive_answer(self, _entry, message):
        """Record an answer.

        The outcome of a grant is reported after the run time.
        """
        if not isinstance(message, ClaimGranted):
            self.refused += 1
            return
        self.latencies.append(time.monotonic() - self.sent_at[message.attempt])
        outcome = RecordOutcome(
            message.key,
            message.attempt,
            status=201,
            content_type='application/json',
            body=BODY,
        )
        loop = asyncio.get_running_loop()
        loop.call_later(RUN_TIME, self.harness.owner.receive, 'entry', outcome)

    def send_claim(self, attempt_number):
        """Send one claim with a new key."""
        key = str(make_key(self.rng, time.time()))
        self.sent_at[attempt_number] = time.monotonic()
        claim = ClaimKey(key, attempt_number, b'8 bytes.', 10)
        self.harness.owner.receive('entry', claim)

    async def run(self):
        """Run the load and return its figures."""
        task = asyncio.ensure_future(self.harness.owner.run())
        while not self.harness.owner.is_loaded:
            await asyncio.sleep(0.01)
        cpu = time.process_time()
        start = time.monotonic()
        due, number = start, 0
        while due < start + self.seconds:
            while due <= time.monotonic():
                self.send_claim(number)
                number += 1
                due += self.rng.expovariate(self.rate)
            await asyncio.sleep(POLL_INTERVAL)
        elapsed = time.monotonic() - start
        writes = self.harness.owner.writes
        cpu = time.process_time() - cpu
        await asyncio.sleep(1)
        task.cancel()
        return self.summarise(number, elapsed, writes, cpu)

    def summarise(self, count, elapsed, writes, cpu):
        """Return the figures of the run.

        :param count: claims sent.
        :param elapsed: seconds of the run.
        :param writes: store writes during the run.
        :param cpu: CPU seconds of the run, load generator included.
        """
        entries = self.harness.core.list_prefix('claims/', 0).entries
        size = sum(len(entry.value) for entry in entries)
        percentiles = statistics.quantiles(self.latencies, n=100)
        return {
            'claims_per_second': round(count / elapsed),
            'store_writes_per_second': round(writes / elapsed, 1),
            'added_latency_median_ms': round(percentiles[49] * 1000, 2),
            'added_latency_p99_ms': round(percentiles[98] * 1000, 2),
            'bytes_per_claim': round(size / count, 1),
            'largest_record_bytes': max(
                len(stored.value) for stored in entries
            ),
            'process_cpu_us_per_claim': round(cpu / count * 1e6, 1),
            'unanswered': count - len(self.latencies),
            'refused': self.refused,
        }


def fill_ring(core, slots, claims, rng):
    """Fill every slot of a ring with claims and their outcomes.

    :param core: store that receives the records.
    :param slots: slots of the ring.
    :param claims: claims in all slots together.
    :param rng: source of the keys.
    """
    window = KeyWindow()
    ring = Ring(0, slots)
    start = time.time() - window.lifetime
    previous_rows = ()
    for sequence in range(1, slots + 1):
        timestamp = start + window.lifetime * sequence / slots
        rows = [
            ClaimRow(make_key(rng, timestamp).bytes, number, b'8 bytes.')
            for number in range(claims // slots)
        ]
        outcomes = tuple(
            OutcomeRow(row.key, row.attempt, released=False, status=201)
            for row in previous_rows
        )
        record = RingSlotRecord(
            slots, sequence, 'w', 0, pack_claims(rows), outcomes
        )
        core.swap(ring.make_key(sequence), 0, pack_slot(record), now=0)
        previous_rows = rows


async def record_stalls(stalls):
    """Record by how many seconds each wake-up of the event loop is late.

    The coroutine runs until it is cancelled.

    :param stalls: list to which the delays are added.
    """
    while True:
        before = time.monotonic()
        await asyncio.sleep(POLL_INTERVAL)
        stalls.append(time.monotonic() - before - POLL_INTERVAL)


async def measure_takeover(slots, claims, seed):
    """Measure the start of a new owner on a full ring.

    :param slots: slots of the ring.
    :param claims: claims that the ring holds.
    :param seed: seed of the keys and of the store.
    :returns: size of the ring, seconds until it is loaded, longest stall of
        the event loop, growth of the process's memory, and whether the owner
        has granted a claim that was sent before the ring was loaded.
    """
    rng = random.Random(seed)
    granted = asyncio.Event()
    settings = ClaimSettings(slots=slots)
    harness = OwnerHarness(seed, settings, lambda *_: granted.set())
    fill_ring(harness.core, slots, claims, rng)
    gc.collect()
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    stalls = []
    recorder = asyncio.ensure_future(record_stalls(stalls))
    start = time.monotonic()
    task = asyncio.ensure_future(harness.owner.run())
    key = str(make_key(rng, time.time()))
    harness.owner.receive('entry', ClaimKey(key, 2**40, b'8 bytes.', 60))
    while not harness.owner.is_loaded:
        await asyncio.sleep(POLL_INTERVAL)
    load_seconds = time.monotonic() - start
    await asyncio.sleep(0.2)
    task.cancel()
    recorder.cancel()
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    entries = harness.core.list_prefix('claims/', 0).entries
    return {
        'slots': slots,
        'claims': harness.owner.claim_count,
        'ring_megabytes': round(sum(len(e.value) for e in entries) / 1e6, 1),
        'list_calls': harness.store.calls['list'],
        'seconds_to_load': round(load_seconds, 2),
        'longest_busy_stretch_ms': round(max(stalls) * 1000, 1),
        'memory_growth_megabytes': round((peak - memory) / 1024, 1),
        'answered': granted.is_set(),
    }


def combine(rows):
    """Return median, minimum and maximum of each figure."""
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
            asyncio.run(LoadGenerator(rate, seconds, seed).run())
            for seed in range(runs)
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
