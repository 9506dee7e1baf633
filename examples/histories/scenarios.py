"""Runs of a local site under load and faults."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator
from pathlib import Path

from examples.histories import platformfaults  # noqa: F401  fills registry
from examples.histories.balancer import Balancer
from examples.histories.load import LoadGenerator
from examples.histories.nemesis import (
    FAULT_SECONDS,
    FAULTS,
    FREEZE_SECONDS,
    Nemesis,
    Scene,
)
from examples.histories.operators import Operators
from examples.histories.plans import Planner
from examples.histories.recorder import collect_history, make_chance
from examples.histories.records import History
from examples.site import LocalSite
from examples.sites import SITES

#: Operators that race each other.
OPERATORS = 3

#: Seconds without new faults after which everything is looked at.
SETTLE_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """What a run is made of.

    :param seed: seed of all chances.
    :param seconds: how long faults begin; requests are sent until they end.
    :param kinds: names of faults.
    :param site: name of the site.
    :param rate: requests a second, without repeats.
    :param outage_seconds: shortest and longest fault of the store.
    :param freeze_seconds: shortest and longest freeze of a daemon.
    """

    seed: int
    seconds: float
    kinds: tuple[str, ...] = ()
    site: str = 'caledon'
    rate: float = 60.0
    outage_seconds: tuple[float, float] = FAULT_SECONDS
    freeze_seconds: tuple[float, float] = FREEZE_SECONDS


async def run_scenario(scenario: Scenario, folder: Path) -> History:
    """Run a site under load and faults and return its history.

    :param folder: where settings and logs are written.
    """
    unknown = set(scenario.kinds) - FAULTS.keys()
    if unknown:
        raise LookupError(f'there is no fault {sorted(unknown)}')
    site = LocalSite(SITES[scenario.site], folder)
    try:
        await site.start()
        return await _run_on(scenario, site)
    finally:
        site.stop()


async def _run_on(scenario: Scenario, site: LocalSite) -> History:
    layout = site.layout
    urls = {name: layout.find_url(name) for name in layout.http_ports}
    planner = Planner(layout.site, make_chance(scenario.seed, 'load'))
    async with Balancer(urls) as balancer:
        load = LoadGenerator(balancer, planner, scenario.rate)
        operators = Operators(
            balancer,
            layout.site.team,
            make_chance(scenario.seed, 'operators'),
        )
        scene = Scene(
            site,
            balancer,
            make_chance(scenario.seed, 'nemesis'),
            scenario.outage_seconds,
            scenario.freeze_seconds,
        )
        async with _run_operators(operators, urls):
            striking = asyncio.create_task(_strike(scene, scenario))
            await load.run(striking.done)
            await striking
            await asyncio.sleep(SETTLE_SECONDS)
        return await collect_history(scene, load, operators)


async def _strike(scene: Scene, scenario: Scenario) -> None:
    if scenario.kinds:
        await Nemesis(scene, scenario.kinds).run(scenario.seconds)
    else:
        await asyncio.sleep(scenario.seconds)


@contextlib.asynccontextmanager
async def _run_operators(
    operators: Operators,
    urls: dict[str, str],
) -> AsyncIterator[None]:
    tasks = [asyncio.create_task(operators.change()) for _ in range(OPERATORS)]
    tasks += [asyncio.create_task(operators.watch(entry)) for entry in urls]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
