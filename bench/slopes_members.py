"""Slopes of membership, of claims and of one call of the tool."""

import asyncio
import resource
import subprocess
import sys
import time

from bench import claims, membership
from bench.slopes_fit import describe, fit_line

#: Members, claims a second and claims of a ring.
MEMBERS = (50, 100, 200)
RATES = (1_000, 3_000, 10_000)
RINGS = ((2_048, 30_000), (6_144, 90_000), (12_288, 180_000))

#: Seconds of each load of claims.
LOAD_SECONDS = 4

#: Virtual seconds of membership before and while it is measured.
WARM_UP = 3.0
MEASURED = 2.0

CALLS = 5


def measure_members():
    """Return bytes and CPU of one member."""
    sent, cpu, calls = [], [], []
    for size in MEMBERS:
        fleet = membership.Fleet(size)
        fleet.run(WARM_UP)
        fleet.sizes.clear()
        fleet.calls.clear()
        before = time.process_time()
        fleet.run(MEASURED)
        used = time.process_time() - before
        share = size * MEASURED
        sent.append((size, fleet.sizes.total() / share))
        cpu.append((size, used / share * 1e6))
        calls.append((size, fleet.calls.total() / MEASURED))
    return {
        'member_bytes': fit_line('bytes sent a second', 'member', sent),
        'member_cpu': fit_line('us of CPU a second', 'member', cpu),
        'member_calls': fit_line('store calls a second', 'member', calls),
    }


def measure_claims():
    """Return writes, CPU, bytes and takeover of a claim owner."""
    writes, cpu, size, waits = [], [], [], []
    for rate in RATES:
        load = claims.Load(rate, LOAD_SECONDS, rate)
        row = asyncio.run(load.run())
        done = row['claims_per_second']
        writes.append((rate, row['store_writes_per_second']))
        cpu.append((rate, row['process_cpu_us_per_claim'] * done))
        size.append((rate, row['bytes_per_claim'] * done))
        waits.append((rate, row['added_latency_p99_ms']))
    loads, held = [], []
    for slots, count in RINGS:
        row = asyncio.run(claims.measure_takeover(slots, count, count))
        loads.append((row['claims'], row['seconds_to_load']))
        held.append((row['claims'], row['ring_megabytes'] * 1e6))
    return {
        'claim_writes': fit_line('store writes a second', 'claim/s', writes),
        'claim_cpu': fit_line('us of CPU a second', 'claim/s', cpu),
        'claim_store_bytes': fit_line('bytes a second', 'claim/s', size),
        'claim_p99_ms': fit_line('ms added, p99', 'claim/s', waits),
        'claim_takeover': fit_line('seconds', 'remembered claim', loads),
        'claim_ring_bytes': fit_line('bytes', 'remembered claim', held),
    }


def measure_tool():
    """Return the CPU seconds of one call of the command-line tool."""
    rows = []
    for _ in range(CALLS):
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        subprocess.run(
            [sys.executable, '-m', 'verbenapost.cli', '--help'],
            capture_output=True,
            check=False,
        )
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        user = after.ru_utime - before.ru_utime
        rows.append(user + after.ru_stime - before.ru_stime)
    return describe(rows)
