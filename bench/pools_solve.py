"""Solver time, memory and event-loop stalls for one large region."""

import asyncio
import random
import resource
import time
from typing import Any

from verbenapost.coordination.pools.assignment import AssignmentModel
from verbenapost.coordination.pools.demands import Demand, Rack

#: Number of VMs of the region.
VMS = 870

#: Number of pools of the region, including the spare pool.
POOLS = 11

#: Seconds between two samples of the event loop.
SAMPLE_INTERVAL = 0.001


def make_region(seed: int) -> tuple[list[Rack], list[Demand]]:
    """Return racks and demands of a region with randomly placed VMs.

    :param seed: seed of the placement and of the demands.
    """
    rng = random.Random(seed)
    names = [f'pool{number}' for number in range(POOLS)]
    racks = []
    for number in range(0, VMS, 4):
        pools: dict[str, int] = {}
        for _ in range(min(4, VMS - number)):
            pool = rng.choice(names)
            pools[pool] = pools.get(pool, 0) + 1
        racks.append(Rack(f'dc{rng.randrange(3)}', f'r{number}', pools))
    demands = [
        Demand(name, rng.randrange(60, 84), min_after_loss=40) for name in names
    ]
    return racks, demands


async def _record_stalls(stalls: list[float]) -> None:
    while True:
        before = time.perf_counter()
        await asyncio.sleep(SAMPLE_INTERVAL)
        stalls.append(time.perf_counter() - before - SAMPLE_INTERVAL)


async def _measure_solve(seed: int) -> dict[str, Any]:
    racks, demands = make_region(seed)
    stalls: list[float] = []
    recorder = asyncio.ensure_future(_record_stalls(stalls))
    await asyncio.sleep(0.05)
    idle_stall = max(stalls)
    stalls.clear()
    started = time.perf_counter()
    cpu = time.process_time()
    model = AssignmentModel(racks, demands, 'pool0')
    solved = (await asyncio.to_thread(model.solve)).unwrap()
    elapsed = time.perf_counter() - started
    cpu_used = time.process_time() - cpu
    recorder.cancel()
    return {
        'seed': seed,
        'vms': sum(rack.size for rack in racks),
        'racks': len(racks),
        'need': sum(demand.vms for demand in demands),
        'seconds': round(elapsed, 3),
        'cpu_seconds': round(cpu_used, 3),
        'longest_stall_ms': round(max(stalls) * 1000, 2),
        'longest_idle_stall_ms': round(idle_stall * 1000, 2),
        'buffer': solved.buffer,
        'bound': round(solved.lower_bound, 3),
        'moves': solved.moves,
    }


def _read_memory() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_maxrss / 1024


def measure(seeds: range) -> dict[str, Any]:
    """Return one row for each seed, and the peak memory before and after."""
    before = _read_memory()
    rows = [asyncio.run(_measure_solve(seed)) for seed in seeds]
    return {
        'rows': rows,
        'peak_mb_before': round(before, 1),
        'peak_mb_after': round(_read_memory(), 1),
    }
