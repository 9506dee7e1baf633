"""Collects a history from the stand-ins and the load generator."""

import base64
import random
from typing import Any

import aiohttp

from examples.histories.load import LoadGenerator
from examples.histories.nemesis import FaultContext
from examples.histories.operators import Operators
from examples.histories.records import History, Run, VmObservation
from examples.layout import Layout
from examples.sites import make_team_document
from verbenapost.state.vms import unpack_vm


async def read_runs(
    session: aiohttp.ClientSession,
    layout: Layout,
) -> tuple[Run, ...]:
    """Return the runs that the targets report, in order of their starts."""
    runs: list[Run] = []
    for row in layout.vms:
        url = f'http://{row["address"]}/-/history'
        async with session.get(url) as answer:
            fields = await answer.json()
        runs += [
            _make_run(fields['name'], run_fields)
            for run_fields in fields['runs']
        ]
    runs.sort(key=lambda run: run.started_at)
    return tuple(runs)


async def read_vms(
    session: aiohttp.ClientSession,
    layout: Layout,
) -> tuple[VmObservation, ...]:
    """Return every state of the VM records."""
    async with session.get(f'{layout.store_url}/-/journal') as answer:
        fields = await answer.json()
    return tuple(_make_vm(event) for event in fields['events'])


async def collect_history(
    context: FaultContext,
    load: LoadGenerator,
    operators: Operators,
) -> History:
    """Collect the history of a scenario that is over."""
    layout = context.site.layout
    session = context.balancer.session
    return History(
        sent=tuple(load.sent),
        answered=tuple(load.answered),
        disconnects=tuple(load.disconnects),
        runs=await read_runs(session, layout),
        injected_faults=tuple(context.injected_faults),
        changes=tuple(operators.changes),
        configs=tuple(operators.observations),
        vms=await read_vms(session, layout),
        audit=await operators.read_audit(),
        pools=_read_pools(layout),
    )


def make_rng(seed: int, part: str) -> random.Random:
    """Return the random source of one part of a scenario."""
    return random.Random(f'{seed}/{part}')


def _make_run(target: str, run_fields: dict[str, Any]) -> Run:
    tag = run_fields['path'].rpartition('/')[2]
    return Run(
        target=target,
        request_id=run_fields['request_id'],
        key=run_fields['key'],
        tag=tag,
        service=tag.partition('.')[0],
        started_at=run_fields['started_at'],
    )


def _make_vm(event: dict[str, Any]) -> VmObservation:
    record = unpack_vm(base64.b64decode(event['value']))
    return VmObservation(
        name=record.name,
        revision=event['revision'],
        pool=record.pool,
        state=record.state.value,
        epoch=record.epoch,
        boot=record.boot,
        changed_at=event['at'],
    )


def _read_pools(layout: Layout) -> tuple[tuple[str, tuple[str, ...]], ...]:
    services = make_team_document(layout.site)['services']
    return tuple(
        (name, tuple(filter(None, (spec['pool'], spec['overflow']))))
        for name, spec in services.items()
    )
