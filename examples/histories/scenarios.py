"""Scenarios: runs of a local site under load and faults."""

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
    FaultContext,
    Nemesis,
)
from examples.histories.operators import Operators
from examples.histories.plans import Planner
from examples.histories.recorder import collect_history, make_rng
from examples.histories.records import History
from examples.site import LocalSite
from examples.sites import SITES

#: Number of concurrent operators.
OPERATOR_COUNT = 3

#: Seconds between the end of the load and the collection of the history.
SETTLE_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Parameters of a run.

    :param seed: seed of all random draws.
    :param seconds: time in which faults start; requests are sent until the
        last fault ends.
    :param kinds: names of the faults.
    :param site: name of the site.
    :param rate: requests per second, without repeats.
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

    :param folder: folder of the settings and logs.
    :raises LookupError: when there is no fault with a given name.
    """
    unknown = set(scenario.kinds) - FAULTS.keys()
    if unknown:
        raise LookupError(f'there is no fault {sorted(unknown)}')
    site = LocalSite(SITES[scenario.site], folder)
    try:
        await site.start()
        return await _run_on_site(scenario, site)
    finally:
        site.stop()


async def _run_on_site(scenario: Scenario, site: LocalSite) -> History:
    layout = site.layout
    urls = {name: layout.find_url(name) for name in layout.http_ports}
    planner = Planner(layout.site, make_rng(scenario.seed, 'load'))
    async with Balancer(urls) as balancer:
        load = LoadGenerator(balancer, planner, scenario.rate)
        operators = Operators(
            balancer,
            layout.site.team,
            make_rng(scenario.seed, 'operators'),
        )
        context = FaultContext(
            site,
            balancer,
            make_rng(scenario.seed, 'nemesis'),
            scenario.outage_seconds,
            scenario.freeze_seconds,
        )
        async with _run_operators(operators, urls):
            injecting = asyncio.create_task(_inject_faults(context, scenario))
            await load.run(injecting.done)
            await injecting
            await asyncio.sleep(SETTLE_SECONDS)
        return await collect_history(context, load, operators)


async def _inject_faults(context: FaultContext, scenario: Scenario) -> None:
    if scenario.kinds:
        await Nemesis(context, scenario.kinds).run(scenario.seconds)
    else:
        await asyncio.sleep(scenario.seconds)


@contextlib.asynccontextmanager
async def _run_operators(
    operators: Operators,
    urls: dict[str, str],
) -> AsyncIterator[None]:
    tasks = [
        asyncio.create_task(operators.change()) for _ in range(OPERATOR_COUNT)
    ]
    tasks += [asyncio.create_task(operators.watch(entry)) for entry in urls]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
