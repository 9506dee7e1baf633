"""Faults of a soak of the platform's daemon, in a registry."""

import asyncio
import contextlib
import signal
from collections.abc import Awaitable, Callable, Iterator

from examples.histories.fleetsite import FleetSoak
from standins.fleet.tenanthistory import Disturbance
from standins.fleet.world import SERVICE

#: VMs of a wave, and those that may be down at the same time.
WAVE_VMS = 4
WAVE_CAP = 2

#: Seconds for which the fault of a wave lasts.
WAVE_SECONDS = 25

#: VMs that are removed for good in one run.
MAX_REMOVED = 4

#: Share of the cuts from the store that end the leadership at once.
REVOKED_SHARE = 0.5

#: Longest wait for a read of the list of VMs in seconds.
LIST_TIMEOUT = 3.0

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


@contextlib.contextmanager
def _disturb(soak: FleetSoak, name: str) -> Iterator[None]:
    """Let no other fault meet a daemon meanwhile."""
    soak.disturbed.add(name)
    with _record_disturbance(soak, name):
        yield
    soak.disturbed.discard(name)


@contextlib.contextmanager
def _record_disturbance(soak: FleetSoak, name: str = '') -> Iterator[None]:
    """Record the span of a fault of one daemon, or of all."""
    start = soak.world.now()
    yield
    soak.disturbances.append(Disturbance(start, soak.world.now(), name))


async def _end_daemon(soak: FleetSoak, number: int) -> None:
    name = soak.choose_daemon()
    if name is None:
        return
    with _disturb(soak, name):
        soak.processes.send_signal(name, number)
        await soak.restart_daemon(name)


async def _freeze_daemon(soak: FleetSoak, name: str, seconds: float) -> None:
    soak.processes.send_signal(name, signal.SIGSTOP)
    await asyncio.sleep(seconds)
    soak.processes.send_signal(name, signal.SIGCONT)


@register_fault
async def freeze(soak: FleetSoak) -> None:
    """Freeze a daemon and wake it."""
    name = soak.choose_daemon()
    if name is None:
        return
    with _disturb(soak, name):
        seconds = soak.rng.choice((0.6, 1.2, 2, 4, 8))
        await _freeze_daemon(soak, name, seconds)


@register_fault
async def cut(soak: FleetSoak) -> None:
    """Cut a daemon off; what it sends arrives when the cut is over."""
    name = soak.choose_daemon()
    if name is None:
        return
    with _disturb(soak, name):
        soak.world.cut.add(name)
        await asyncio.sleep(soak.rng.uniform(0.5, 6))
        soak.world.cut.discard(name)


@register_fault
async def disturb_store(soak: FleetSoak) -> None:
    """Let the store be down, or lose or delay answers."""
    faults = soak.world.store.faults
    kind = soak.rng.choice(('down', 'lose', 'late', 'latency'))
    before = getattr(faults, kind)
    setattr(faults, kind, {'down': True, 'latency': 0.2}.get(kind, 0.3))
    with _record_disturbance(soak):
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
    with _record_disturbance(soak):
        soak.world.silence_connections()


@register_fault
async def cut_from_store(soak: FleetSoak) -> None:
    """Cut a daemon off from the store only, perhaps ending the leadership."""
    name = soak.choose_daemon()
    if name is None:
        return
    with _disturb(soak, name):
        soak.world.store_cut.add(name)
        if soak.rng.random() < REVOKED_SHARE:
            soak.world.end_leadership()
        await asyncio.sleep(soak.rng.uniform(0.5, 8))
        soak.world.store_cut.discard(name)


@register_fault
async def freeze_after_list(soak: FleetSoak) -> None:
    """Freeze the leader as it reads the list; wake it after its lease."""
    name = soak.world.find_leading()
    if name is None or name in soak.disturbed:
        return
    with _disturb(soak, name):
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(soak.world.wait_list(name), LIST_TIMEOUT)
            await asyncio.sleep(soak.rng.uniform(0, 0.05))
        await _freeze_daemon(soak, name, soak.rng.uniform(2, 9))


@register_fault
async def isolate_racks(soak: FleetSoak) -> None:
    """Let racks be unreachable from the moment of orders for their VMs."""
    soak.world.cloud.rack_outages.extend(
        soak.rng.uniform(1, 8) for _ in range(2)
    )
    await request_wave(soak)


@register_fault
async def change_pages(soak: FleetSoak) -> None:
    """Serve the list in pages that change between the reads of them."""
    cloud = soak.world.cloud
    cloud.page_size = soak.rng.choice((2, 5, 9))
    cloud.reordered = True
    await asyncio.sleep(soak.rng.uniform(2, 8))
    cloud.page_size = None
    cloud.reordered = False


@register_fault
async def delay_lists(soak: FleetSoak) -> None:
    """Serve lists that are late, stale, or both."""
    cloud = soak.world.cloud
    cloud.list_seconds = soak.rng.choice((0, 0.2, 0.5))
    cloud.stale_seconds = soak.rng.choice((0.2, 0.5, 0.9))
    await asyncio.sleep(soak.rng.uniform(2, 8))
    cloud.list_seconds = 0
    cloud.stale_seconds = 0


@register_fault
async def hide_vms(soak: FleetSoak) -> None:
    """Let the list leave out for some seconds what a wave has yet to begin."""
    chosen = _request_wave(soak)
    number = soak.counts['waves']
    await asyncio.sleep(soak.rng.uniform(0, 10))
    cloud = soak.world.cloud
    begun = {row.vm for row in cloud.maintained if row.wave == number}
    for vm in sorted(set(chosen) - begun):
        cloud.hide(vm, soak.rng.uniform(1, 8))
    await asyncio.sleep(WAVE_SECONDS)


@register_fault
async def remove_vm(soak: FleetSoak) -> None:
    """Remove a VM of a wave for good."""
    chosen = _request_wave(soak)
    if soak.counts['removed'] < MAX_REMOVED:
        soak.counts['removed'] += 1
        await asyncio.sleep(soak.rng.uniform(0, 4))
        soak.world.cloud.remove(chosen[0])
    await asyncio.sleep(WAVE_SECONDS)


@register_fault
async def request_wave(soak: FleetSoak) -> None:
    """Request the maintenance of some VMs of the pool."""
    _request_wave(soak)
    await asyncio.sleep(WAVE_SECONDS)


def _request_wave(soak: FleetSoak) -> list[str]:
    """Request the maintenance of some VMs of the pool and return them."""
    vms = [row.vm for row in soak.world.cloud.list_vms() if row.pool == SERVICE]
    chosen = soak.rng.sample(vms, min(len(vms), WAVE_VMS))
    soak.counts['waves'] += 1
    number = soak.counts['waves']
    soak.world.request_wave(number, chosen, duration=30, cap=WAVE_CAP)
    return chosen
