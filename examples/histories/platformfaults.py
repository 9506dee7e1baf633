"""Faults of the platform: its store, its workers and its VMs."""

import asyncio
import functools
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from examples.histories.nemesis import (
    FAULT_SECONDS,
    LEAVE_SECONDS,
    FaultContext,
    register_fault,
)

#: Largest number of attempts to return a VM.
MAX_RETURN_ATTEMPTS = 10

#: Seconds between two attempts to return a VM.
RETRY_SECONDS = 0.2

_STORE = 'store'

_STORE_FAULTS: dict[str, dict[str, Any]] = {
    'store_outage': {'refuse': 1.0},
    'store_loses': {'lose_answer': 0.3},
    'store_hangs': {'hang': 0.2, 'hang_seconds': 5.0},
    'store_slow': {'latency': 0.2, 'jitter': 0.3},
    'store_stale': {'stale': 0.3},
    'store_leases': {'expire_leases': True, 'truncate': True},
}

_WORKER_FAULTS: dict[str, dict[str, Any]] = {
    'worker_slow': {'slow': 0.5},
    'worker_fails': {'fail_all': True},
    'worker_cuts': {'cut': True},
    'worker_crosses': {'cross': True},
    'worker_late': {'late': 6.0},
    'worker_refuses': {'refuse': True},
}

_NO_STORE_FAULTS: dict[str, Any] = {
    'refuse': 0,
    'lose_answer': 0,
    'hang': 0,
    'latency': 0,
    'jitter': 0,
    'stale': 0,
}


async def inject_store_fault(kind: str, context: FaultContext) -> None:
    """Inject a fault into the store for some seconds."""
    if context.choose_victim((_STORE,)) is None:
        return
    url = f'{context.site.layout.store_url}/-/faults'
    started_at = time.time()
    await context.post(url, _STORE_FAULTS[kind])
    await asyncio.sleep(context.draw_seconds(context.outage_seconds))
    await context.post(url, _NO_STORE_FAULTS)
    context.record_end(kind, _STORE, started_at)


async def inject_worker_fault(kind: str, context: FaultContext) -> None:
    """Inject a fault into a worker for some seconds."""
    urls = _find_worker_urls(context)
    victim = context.choose_victim(urls)
    if victim is None:
        return
    url = f'{urls[victim]}/-/faults'
    started_at = time.time()
    await context.post(url, _WORKER_FAULTS[kind])
    await asyncio.sleep(context.draw_seconds(FAULT_SECONDS))
    await context.post(url, {})
    context.record_end(kind, victim, started_at)


def register_kinds(
    kinds: Iterable[str],
    inject: Callable[[str, FaultContext], Awaitable[None]],
) -> None:
    """Register one fault for each kind."""
    for kind in kinds:
        register_fault(kind)(functools.partial(inject, kind))


register_kinds(_STORE_FAULTS, inject_store_fault)
register_kinds(_WORKER_FAULTS, inject_worker_fault)


@register_fault('leave')
async def mark_leaving(context: FaultContext) -> None:
    """Mark a VM as leaving, and mark it as live again later."""
    victim = context.choose_victim(_find_worker_urls(context))
    if victim is None:
        return
    url = f'{context.site.layout.vm_list_url}/-/vms/{victim}'
    await context.post(url, {'state': 'leaving'})
    started_at = time.time()
    await asyncio.sleep(context.draw_seconds(LEAVE_SECONDS))
    context.record_end('leave', victim, started_at)
    await context.post(url, {'state': 'live'})


@register_fault('drain')
async def drain_vm(context: FaultContext) -> None:
    """Drain a VM as an operator, and return it later."""
    victim = context.choose_victim(_find_worker_urls(context))
    if victim is None:
        return
    started_at = time.time()
    if await _post_as_operator(
        context, f'vms/{victim}/drain', {'reason': 'soak'}
    ):
        await asyncio.sleep(context.draw_seconds(LEAVE_SECONDS))
        await _return_vm(context, victim)
    context.record_end('drain', victim, started_at)


@register_fault('move')
async def move_vm(context: FaultContext) -> None:
    """Move a VM into a random pool as an operator."""
    victim = context.choose_victim(_find_worker_urls(context))
    if victim is None:
        return
    started_at = time.time()
    pool = context.rng.choice(context.site.layout.site.services)
    content = {'pool': pool, 'reason': 'soak'}
    await _post_as_operator(context, f'vms/{victim}/move', content)
    context.record_end('move', victim, started_at)


async def _return_vm(context: FaultContext, victim: str) -> None:
    """Return a drained VM to service, with retries.

    A retry after a return whose answer was lost is refused, so the number of
    attempts is bounded.
    """
    for _ in range(MAX_RETURN_ATTEMPTS):
        if await _post_as_operator(
            context, f'vms/{victim}/return', {'reason': 'soak'}
        ):
            return
        await asyncio.sleep(RETRY_SECONDS)


async def _post_as_operator(
    context: FaultContext, path: str, content: Any
) -> bool:
    entry = context.balancer.pick()
    if entry is None:
        return False
    url = f'{context.balancer.urls[entry]}/-/{path}'
    return await context.post(url, content)


def _find_worker_urls(context: FaultContext) -> dict[str, str]:
    return {
        row['name']: f'http://{row["address"]}'
        for row in context.site.layout.vms
    }
