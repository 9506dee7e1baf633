"""Faults of a soak of the platform's daemon, in a registry."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

from examples.histories.fleetsite import FleetSoak
from standins.fleet.world import SERVICE

#: VMs of a wave, and those that may be down at the same time.
WAVE_VMS = 4
WAVE_CAP = 2

Fault = Callable[[FleetSoak], Awaitable[None]]

FAULTS: dict[str, Fault] = {}


def register_fault(fault: Fault) -> Fault:
    """Register a fault under the name of its function."""
    FAULTS[fault.__name__] = fault
    return fault


@register_fault
async def kill(soak: FleetSoak) -> None:
    """Kill a daemon."""
    await _end_daemon(soak, signal.SIGKILL)


@register_fault
async def stop(soak: FleetSoak) -> None:
    """Stop a daemon."""
    await _end_daemon(soak, signal.SIGTERM)


async def _end_daemon(soak: FleetSoak, number: int) -> None:
    name = soak.choose_daemon()
    if name is None:
        return
    soak.disturbed.add(name)
    soak.processes.send_signal(name, number)
    await soak.restart_daemon(name)
    soak.disturbed.discard(name)


@register_fault
async def freeze(soak: FleetSoak) -> None:
    """Freeze a daemon and wake it."""
    name = soak.choose_daemon()
    if name is None:
        return
    soak.disturbed.add(name)
    soak.processes.send_signal(name, signal.SIGSTOP)
    await asyncio.sleep(soak.rng.choice((0.6, 1.2, 2, 4, 8)))
    soak.processes.send_signal(name, signal.SIGCONT)
    soak.disturbed.discard(name)


@register_fault
async def cut(soak: FleetSoak) -> None:
    """Cut a daemon off; what it sends arrives when the cut is over."""
    name = soak.choose_daemon()
    if name is None:
        return
    soak.disturbed.add(name)
    soak.world.cut.add(name)
    await asyncio.sleep(soak.rng.uniform(0.5, 6))
    soak.world.cut.discard(name)
    soak.disturbed.discard(name)


@register_fault
async def disturb_store(soak: FleetSoak) -> None:
    """Let the store be down, or lose or delay answers."""
    faults = soak.world.store.faults
    kind = soak.rng.choice(('down', 'lose', 'late', 'latency'))
    before = getattr(faults, kind)
    setattr(faults, kind, {'down': True, 'latency': 0.2}.get(kind, 0.3))
    await asyncio.sleep(soak.rng.uniform(0.5, 3))
    setattr(faults, kind, before)


@register_fault
async def restart_worker(soak: FleetSoak) -> None:
    """Let a worker crash and start again under its identity."""
    up = [
        worker
        for worker in soak.world.workers.values()
        if worker.up and soak.world.cloud.is_current(worker)
    ]
    if not up:
        return
    worker = soak.rng.choice(up)
    worker.crash()
    await asyncio.sleep(soak.rng.choice((0.05, 0.3, 1, 3)))
    if soak.world.cloud.is_current(worker):
        worker.restart()


@register_fault
async def silence(soak: FleetSoak) -> None:
    """Let all open connections go silent."""
    soak.world.silence_connections()


@register_fault
async def request_wave(soak: FleetSoak) -> None:
    """Request the maintenance of some VMs of the pool."""
    vms = [row.vm for row in soak.world.cloud.list_vms() if row.pool == SERVICE]
    chosen = soak.rng.sample(vms, min(len(vms), WAVE_VMS))
    soak.counts['waves'] += 1
    number = soak.counts['waves']
    soak.world.request_wave(number, chosen, duration=30, cap=WAVE_CAP)
    await asyncio.sleep(25)
