"""Collects a history from the stand-ins and the load generator."""

import base64
import random
from typing import Any

import aiohttp

from examples.histories.load import LoadGenerator
from examples.histories.nemesis import Scene
from examples.histories.operators import Operators
from examples.histories.records import History, Run, VmSeen
from examples.layout import Layout
from examples.sites import make_team_document
from verbenapost.state.vms import unpack_vm


async def read_runs(
    session: aiohttp.ClientSession,
    layout: Layout,
) -> tuple[Run, ...]:
    """Return the runs that the targets report."""
    runs: list[Run] = []
    for row in layout.vms:
        url = f'http://{row["address"]}/-/history'
        async with session.get(url) as answer:
            shown = await answer.json()
        runs += [_make_run(shown['name'], begun) for begun in shown['runs']]
    runs.sort(key=lambda run: run.started_at)
    return tuple(runs)


async def read_vms(
    session: aiohttp.ClientSession,
    layout: Layout,
) -> tuple[VmSeen, ...]:
    """Return all states that the records of the VMs went through."""
    async with session.get(f'{layout.store_url}/-/journal') as answer:
        shown = await answer.json()
    return tuple(_make_vm(event) for event in shown['events'])


async def collect_history(
    scene: Scene,
    load: LoadGenerator,
    operators: Operators,
) -> History:
    """Return the history of a run that has ended."""
    layout = scene.site.layout
    session = scene.balancer.session
    return History(
        sent=tuple(load.sent),
        answered=tuple(load.answered),
        cuts=tuple(load.cuts),
        runs=await read_runs(session, layout),
        strikes=tuple(scene.strikes),
        changes=tuple(operators.changes),
        configs=tuple(operators.seen),
        vms=await read_vms(session, layout),
        audit=await operators.read_audit(),
        pools=_read_pools(layout),
    )


def make_chance(seed: int, part: str) -> random.Random:
    """Return the source of chances of one part of a run."""
    return random.Random(f'{seed}/{part}')


def _make_run(target: str, begun: dict[str, Any]) -> Run:
    tag = begun['path'].rpartition('/')[2]
    return Run(
        target=target,
        request_id=begun['request_id'],
        key=begun['key'],
        tag=tag,
        service=tag.partition('.')[0],
        started_at=begun['started_at'],
    )


def _make_vm(event: dict[str, Any]) -> VmSeen:
    record = unpack_vm(base64.b64decode(event['value']))
    return VmSeen(
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
