"""Injects seeded faults into a running site, also several at once."""

import asyncio
import dataclasses
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import aiohttp

from examples.histories.balancer import Balancer
from examples.histories.operators import OPERATOR_HEADERS
from examples.histories.records import InjectedFault
from examples.site import LocalSite, SiteError

#: Mean time between two rounds of faults in seconds.
PAUSE_SECONDS = 1.5

#: Largest number of faults that start together.
MAX_CONCURRENT_STARTS = 3

#: Default bounds of the duration of a fault in seconds.
FAULT_SECONDS = (1.0, 4.0)

#: Bounds of the freeze of a daemon in seconds, longer than every lease.
FREEZE_SECONDS = (4.0, 12.0)

#: Bounds of the time that a VM is leaving or drained, in seconds.
LEAVE_SECONDS = (5.0, 8.0)

#: Longest wait for the end of a daemon after SIGTERM in seconds.
TERM_SECONDS = 15.0

#: Longest wait for a daemon to become ready in seconds, longer than any
#: outage.
START_SECONDS = 100.0

#: Longest wait for an answer in seconds.
CALL_SECONDS = 5.0

_POLL_SECONDS = 0.05


@dataclasses.dataclass(slots=True)
class FaultContext:
    """Site and parameters of the faults, and the record of injected faults.

    :param site: the running site.
    :param balancer: reports which daemons are ready.
    :param rng: source of all random draws.
    :param outage_seconds: shortest and longest fault of the store.
    :param freeze_seconds: shortest and longest freeze of a daemon.
    :param injected_faults: faults that are over.
    :param busy_victims: victims of the faults that are active.
    """

    site: LocalSite
    balancer: Balancer
    rng: random.Random
    outage_seconds: tuple[float, float] = FAULT_SECONDS
    freeze_seconds: tuple[float, float] = FREEZE_SECONDS
    injected_faults: list[InjectedFault] = dataclasses.field(
        default_factory=list
    )
    busy_victims: set[str] = dataclasses.field(default_factory=set)

    def draw_seconds(self, bounds: tuple[float, float]) -> float:
        """Draw a duration between two bounds in seconds."""
        return self.rng.uniform(*bounds)

    def choose_victim(self, names: Iterable[str]) -> str | None:
        """Choose and reserve a victim without an active fault.

        A majority of the daemons always remains without a fault.

        :returns: ``None`` when there is no such victim.
        """
        entries = self.site.layout.http_ports
        free = sorted(set(names) - self.busy_victims)
        if not free:
            return None
        victim = self.rng.choice(free)
        busy_count = len(self.busy_victims & entries.keys())
        if victim in entries and 2 * (busy_count + 1) >= len(entries):
            return None
        self.busy_victims.add(victim)
        return victim

    def record_end(self, kind: str, victim: str, started_at: float) -> None:
        """Record a fault that is over, and release its victim."""
        self.injected_faults.append(
            InjectedFault(kind, victim, started_at, time.time())
        )
        self.busy_victims.discard(victim)

    async def post(self, url: str, content: Any) -> bool:
        """Send a POST and return whether it was answered with 200."""
        try:
            async with (
                asyncio.timeout(CALL_SECONDS),
                self.balancer.session.post(
                    url, json=content, headers=OPERATOR_HEADERS
                ) as answer,
            ):
                return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False


Fault = Callable[[FaultContext], Awaitable[None]]

FAULTS: dict[str, Fault] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault under its name."""

    def decorate(fault: Fault) -> Fault:
        FAULTS[name] = fault
        return fault

    return decorate


class Nemesis:
    """Starts random faults of the given kinds for some time.

    :param context: site and parameters of the faults.
    :param kinds: names of the faults.
    """

    def __init__(self, context: FaultContext, kinds: Iterable[str]) -> None:
        self._context = context
        self._kinds = tuple(kinds)

    async def run(self, seconds: float) -> None:
        """Start faults for some seconds, then wait until all are over."""
        deadline = time.monotonic() + seconds
        running: set[asyncio.Future[None]] = set()
        rng = self._context.rng
        while time.monotonic() < deadline:
            for _ in range(rng.randint(1, MAX_CONCURRENT_STARTS)):
                fault = FAULTS[rng.choice(self._kinds)]
                running.add(asyncio.ensure_future(fault(self._context)))
            await asyncio.sleep(PAUSE_SECONDS * 2 * rng.random())
        await asyncio.gather(*running)


@register_fault('kill')
async def kill_daemon(context: FaultContext) -> None:
    """Kill a daemon and restart it."""
    victim = context.choose_victim(context.site.layout.http_ports)
    if victim is None:
        return
    started_at = time.time()
    context.site.processes.send_signal(victim, signal.SIGKILL)
    await wait_for_end(context.site, victim)
    await asyncio.sleep(context.draw_seconds((0, 2)))
    await start_daemon(context, victim)
    context.record_end('kill', victim, started_at)


@register_fault('freeze')
async def freeze_daemon(context: FaultContext) -> None:
    """Freeze a daemon for longer than its leases, then resume it."""
    victim = context.choose_victim(context.site.layout.http_ports)
    if victim is None:
        return
    started_at = time.time()
    context.site.processes.send_signal(victim, signal.SIGSTOP)
    await asyncio.sleep(context.draw_seconds(context.freeze_seconds))
    context.site.processes.send_signal(victim, signal.SIGCONT)
    context.record_end('freeze', victim, started_at)


@register_fault('replace')
async def restart_daemons(context: FaultContext) -> None:
    """Restart every daemon with SIGTERM, one after the other."""
    if context.choose_victim(('replacement',)) is None:
        return
    for name in context.site.layout.http_ports:
        # Skips a daemon with another active fault.
        victim = context.choose_victim((name,))
        if victim is None:
            continue
        started_at = time.time()
        context.site.processes.send_signal(victim, signal.SIGTERM)
        await wait_for_end(context.site, victim)
        await start_daemon(context, victim)
        context.record_end('replace', victim, started_at)
    context.busy_victims.discard('replacement')


async def wait_for_end(site: LocalSite, name: str) -> None:
    """Wait until a process has ended.

    :raises SiteError: when the process does not end in time.
    """
    deadline = time.monotonic() + TERM_SECONDS
    while site.processes.is_running(name):
        if time.monotonic() > deadline:
            raise SiteError(f'{name} does not end')
        await asyncio.sleep(_POLL_SECONDS)


async def start_daemon(context: FaultContext, name: str) -> None:
    """Start a daemon and wait until the balancer sees it ready.

    A daemon that does not become ready is recorded as a fault of kind
    ``stuck``, which violates a rule.
    """
    context.balancer.drop(name)
    context.site.start_daemon(name)
    started_at = time.time()
    while name not in context.balancer.ready:
        if time.time() - started_at > START_SECONDS:
            context.record_end('stuck', name, started_at)
            return
        await asyncio.sleep(_POLL_SECONDS)
