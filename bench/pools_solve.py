"""Solve time, memory and event-loop stall for one large region."""

import asyncio
import random
import resource
import time
from typing import Any

from verbenapost.coordination.pools.assignment import AssignmentModel
from verbenapost.coordination.pools.demands import Demand, Rack

#: VMs of the region.
VMS = 870

#: Pools of the region, the spare pool among them.
POOLS = 11

#: Seconds between two looks at the event loop.
TICK = 0.001


def make_region(seed: int) -> tuple[list[Rack], list[Demand]]:
    """Return a region whose VMs are placed at random."""
    draw = random.Random(seed)
    names = [f'pool{number}' for number in range(POOLS)]
    racks = []
    for number in range(0, VMS, 4):
        pools: dict[str, int] = {}
        for _ in range(min(4, VMS - number)):
            pool = draw.choice(names)
            pools[pool] = pools.get(pool, 0) + 1
        racks.append(Rack(f'dc{draw.randrange(3)}', f'r{number}', pools))
    demands = [
        Demand(name, draw.randrange(60, 84), at_once=40) for name in names
    ]
    return racks, demands


async def _watch_stalls(stalls: list[float]) -> None:
    while True:
        before = time.perf_counter()
        await asyncio.sleep(TICK)
        stalls.append(time.perf_counter() - before - TICK)


async def _solve(seed: int) -> dict[str, Any]:
    racks, demands = make_region(seed)
    stalls: list[float] = []
    watch = asyncio.ensure_future(_watch_stalls(stalls))
    await asyncio.sleep(0.05)
    idle = max(stalls)
    stalls.clear()
    begun = time.perf_counter()
    cpu = time.process_time()
    model = AssignmentModel(racks, demands, 'pool0')
    solved = (await asyncio.to_thread(model.solve)).unwrap()
    taken = time.perf_counter() - begun
    used = time.process_time() - cpu
    watch.cancel()
    return {
        'seed': seed,
        'vms': sum(rack.size for rack in racks),
        'racks': len(racks),
        'need': sum(demand.vms for demand in demands),
        'seconds': round(taken, 3),
        'cpu_seconds': round(used, 3),
        'longest_stall_ms': round(max(stalls) * 1000, 2),
        'longest_idle_stall_ms': round(idle * 1000, 2),
        'buffer': solved.buffer,
        'bound': round(solved.lower_bound, 3),
        'moves': solved.moves,
    }


def _read_memory() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_maxrss / 1024


def measure(seeds: range) -> dict[str, Any]:
    """Return one row a seed and the peak memory of all."""
    before = _read_memory()
    rows = [asyncio.run(_solve(seed)) for seed in seeds]
    return {
        'rows': rows,
        'peak_mb_before': round(before, 1),
        'peak_mb_after': round(_read_memory(), 1),
    }
