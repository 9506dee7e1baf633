"""Faults of workers in a soak of the platform's daemon."""

import asyncio
from typing import Any

from examples.histories.fleetnemesis import register_fault
from examples.histories.fleetsite import FleetSoak
from standins.fleet.workers import WorkerFaults
from standins.fleet.world import SERVICE

#: Share of the calls to a worker that take effect late.
LATE_SHARE = 0.4

#: Workers that one fault of several workers meets.
MANY = 3


def _choose_workers(soak: FleetSoak, count: int = 1) -> list[Any]:
    """Choose workers that are up, those with runs first."""
    cloud = soak.world.cloud
    found = [
        worker
        for worker in soak.world.workers.values()
        if worker.up and worker.service == SERVICE and cloud.is_current(worker)
    ]
    soak.rng.shuffle(found)
    found.sort(key=lambda worker: not worker.runs)
    return found[:count]


async def _disturb_some(
    soak: FleetSoak, faults: WorkerFaults, bounds: tuple[float, float]
) -> None:
    """Give faults to some workers for a time within bounds in seconds."""
    chosen = _choose_workers(soak, soak.rng.randint(1, MANY))
    for worker in chosen:
        worker.faults.mute = faults.mute
        worker.faults.late = faults.late
    await asyncio.sleep(soak.rng.uniform(*bounds))
    for worker in chosen:
        worker.faults.mute = False
        worker.faults.late = 0


@register_fault
async def isolate_workers(soak: FleetSoak) -> None:
    """Let nothing reach some workers, which run on."""
    seconds = soak.rng.uniform(0.5, 12)
    for worker in _choose_workers(soak, soak.rng.randint(1, MANY)):
        soak.world.cloud.isolate(worker, seconds)
    await asyncio.sleep(seconds)


@register_fault
async def mute_workers(soak: FleetSoak) -> None:
    """Let the answers of some workers be lost, which do what they are told."""
    await _disturb_some(soak, WorkerFaults(mute=True), (0.5, 12))


@register_fault
async def delay_calls(soak: FleetSoak) -> None:
    """Let calls to some workers take effect late and get no answer."""
    await _disturb_some(soak, WorkerFaults(late=LATE_SHARE), (1, 8))


@register_fault
async def unlist_workers(soak: FleetSoak) -> None:
    """Let the entries of some live workers be missing for a while."""
    chosen = _choose_workers(soak, soak.rng.randint(1, MANY))
    for worker in chosen:
        soak.world.store.remove(f'servers/{worker.name}')
    await asyncio.sleep(soak.rng.uniform(0.5, 10))
    for worker in chosen:
        if worker.up and soak.world.cloud.is_current(worker):
            worker.register()


@register_fault
async def omit_workers(soak: FleetSoak) -> None:
    """Let the list of VMs name no worker whose entry is missing."""
    soak.world.cloud.names_unregistered = False
    await asyncio.sleep(soak.rng.uniform(4, 15))
    soak.world.cloud.names_unregistered = True
