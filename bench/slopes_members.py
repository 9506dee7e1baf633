"""Growth of the cost of membership and claims; cost of the command line."""

import asyncio
import resource
import subprocess
import sys
import time

from bench import claims, membership
from bench.slopes_fit import describe, fit_line

#: Measured numbers of members, claims per second, and slots and claims of a
#: ring.
MEMBERS = (50, 100, 200)
RATES = (1_000, 3_000, 10_000)
RINGS = ((2_048, 30_000), (6_144, 90_000), (12_288, 180_000))

#: Duration of each load of claims, in seconds.
LOAD_SECONDS = 4

#: Duration of the simulated membership before and during the measurement, in
#: virtual seconds.
WARM_UP_SECONDS = 3.0
MEASURED_SECONDS = 2.0

#: Number of measured calls of the command-line tool.
CALLS = 5


def measure_members():
    """Return the fitted lines of bytes, CPU and store calls of membership."""
    sent, cpu, calls = [], [], []
    for size in MEMBERS:
        fleet = membership.Fleet(size)
        fleet.run(WARM_UP_SECONDS)
        fleet.sent_bytes.clear()
        fleet.calls.clear()
        before = time.process_time()
        fleet.run(MEASURED_SECONDS)
        cpu_used = time.process_time() - before
        member_seconds = size * MEASURED_SECONDS
        sent.append((size, fleet.sent_bytes.total() / member_seconds))
        cpu.append((size, cpu_used / member_seconds * 1e6))
        calls.append((size, fleet.calls.total() / MEASURED_SECONDS))
    return {
        'member_bytes': fit_line('bytes sent a second', 'member', sent),
        'member_cpu': fit_line('us of CPU a second', 'member', cpu),
        'member_calls': fit_line('store calls a second', 'member', calls),
    }


def measure_claims():
    """Return the fitted lines of the load and takeover of a claim owner."""
    writes, cpu, size, latencies = [], [], [], []
    for rate in RATES:
        load = claims.LoadGenerator(rate, LOAD_SECONDS, rate)
        row = asyncio.run(load.run())
        completed_rate = row['claims_per_second']
        writes.append((rate, row['store_writes_per_second']))
        cpu.append((rate, row['process_cpu_us_per_claim'] * completed_rate))
        size.append((rate, row['bytes_per_claim'] * completed_rate))
        latencies.append((rate, row['added_latency_p99_ms']))
    loads, ring_bytes = [], []
    for slots, count in RINGS:
        row = asyncio.run(claims.measure_takeover(slots, count, count))
        loads.append((row['claims'], row['seconds_to_load']))
        ring_bytes.append((row['claims'], row['ring_megabytes'] * 1e6))
    return {
        'claim_writes': fit_line('store writes a second', 'claim/s', writes),
        'claim_cpu': fit_line('us of CPU a second', 'claim/s', cpu),
        'claim_store_bytes': fit_line('bytes a second', 'claim/s', size),
        'claim_p99_ms': fit_line('ms added, p99', 'claim/s', latencies),
        'claim_takeover': fit_line('seconds', 'remembered claim', loads),
        'claim_ring_bytes': fit_line('bytes', 'remembered claim', ring_bytes),
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
        user_seconds = after.ru_utime - before.ru_utime
        rows.append(user_seconds + after.ru_stime - before.ru_stime)
    return describe(rows)
