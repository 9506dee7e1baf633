"""Puts faults into a running site, alone and together, from a seed."""

import asyncio
import dataclasses
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import aiohttp

from examples.histories.balancer import Balancer
from examples.histories.operators import HEADERS
from examples.histories.records import Strike
from examples.site import LocalSite, SiteError

#: Seconds between two rounds of faults.
PAUSE_SECONDS = 1.5

#: Most faults that start together.
MOST_TOGETHER = 3

#: Seconds that a fault lasts when nothing else is said.
FAULT_SECONDS = (1.0, 4.0)

#: Seconds that a frozen daemon stays frozen, longer than every lease.
FREEZE_SECONDS = (4.0, 12.0)

#: Seconds that a VM keeps its leave mark or stays drained.
LEAVE_SECONDS = (5.0, 8.0)

#: Seconds that a daemon gets to end after SIGTERM.
TERM_SECONDS = 15.0

#: Seconds that a daemon gets to become ready, longer than any outage.
START_SECONDS = 100.0

#: Longest wait for the answer of a stand-in, in seconds.
CALL_SECONDS = 5.0

_POLL = 0.05


@dataclasses.dataclass(slots=True)
class Scene:
    """What faults work on.

    :param site: the running site.
    :param balancer: knows which daemons are ready.
    :param chance: source of all chances.
    :param outage_seconds: shortest and longest fault of the store.
    :param freeze_seconds: shortest and longest freeze of a daemon.
    """

    site: LocalSite
    balancer: Balancer
    chance: random.Random
    outage_seconds: tuple[float, float] = FAULT_SECONDS
    freeze_seconds: tuple[float, float] = FREEZE_SECONDS
    strikes: list[Strike] = dataclasses.field(default_factory=list)
    struck: set[str] = dataclasses.field(default_factory=set)

    def draw_seconds(self, bounds: tuple[float, float]) -> float:
        """Return a length between two bounds."""
        return self.chance.uniform(*bounds)

    def take_victim(self, names: Iterable[str]) -> str | None:
        """Choose a victim that no other fault works on.

        A majority of the daemons is always left alone.
        """
        entries = self.site.layout.http_ports
        free = sorted(set(names) - self.struck)
        if not free:
            return None
        victim = self.chance.choice(free)
        taken = len(self.struck & entries.keys())
        if victim in entries and 2 * (taken + 1) >= len(entries):
            return None
        self.struck.add(victim)
        return victim

    def end(self, kind: str, victim: str, begun: float) -> None:
        """Record that a fault is over."""
        self.strikes.append(Strike(kind, victim, begun, time.time()))
        self.struck.discard(victim)

    async def post(self, url: str, content: Any) -> bool:
        """Send a call and tell whether it was accepted."""
        try:
            async with (
                asyncio.timeout(CALL_SECONDS),
                self.balancer.session.post(
                    url, json=content, headers=HEADERS
                ) as answer,
            ):
                return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False


Fault = Callable[[Scene], Awaitable[None]]

FAULTS: dict[str, Fault] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault under its name."""

    def decorate(fault: Fault) -> Fault:
        FAULTS[name] = fault
        return fault

    return decorate


class Nemesis:
    """Starts faults of the chosen kinds until its time is up.

    :param scene: what faults work on.
    :param kinds: names of faults.
    """

    def __init__(self, scene: Scene, kinds: Iterable[str]) -> None:
        self._scene = scene
        self._kinds = tuple(kinds)

    async def run(self, seconds: float) -> None:
        """Strike for some seconds, then wait until all faults are over."""
        deadline = time.monotonic() + seconds
        running: set[asyncio.Future[None]] = set()
        chance = self._scene.chance
        while time.monotonic() < deadline:
            for _ in range(chance.randint(1, MOST_TOGETHER)):
                fault = FAULTS[chance.choice(self._kinds)]
                running.add(asyncio.ensure_future(fault(self._scene)))
            await asyncio.sleep(PAUSE_SECONDS * 2 * chance.random())
        await asyncio.gather(*running)


@register_fault('kill')
async def kill_daemon(scene: Scene) -> None:
    """Kill a daemon and start it again."""
    victim = scene.take_victim(scene.site.layout.http_ports)
    if victim is None:
        return
    begun = time.time()
    scene.site.processes.send_signal(victim, signal.SIGKILL)
    await wait_for_end(scene.site, victim)
    await asyncio.sleep(scene.draw_seconds((0, 2)))
    await start_daemon(scene, victim)
    scene.end('kill', victim, begun)


@register_fault('freeze')
async def freeze_daemon(scene: Scene) -> None:
    """Stop a daemon for longer than its leases, then let it go on."""
    victim = scene.take_victim(scene.site.layout.http_ports)
    if victim is None:
        return
    begun = time.time()
    scene.site.processes.send_signal(victim, signal.SIGSTOP)
    await asyncio.sleep(scene.draw_seconds(scene.freeze_seconds))
    scene.site.processes.send_signal(victim, signal.SIGCONT)
    scene.end('freeze', victim, begun)


@register_fault('replace')
async def replace_daemons(scene: Scene) -> None:
    """Replace every daemon with SIGTERM, one after the other."""
    if scene.take_victim(('replacement',)) is None:
        return
    for name in scene.site.layout.http_ports:
        # A daemon under another fault is left to that fault.
        victim = scene.take_victim((name,))
        if victim is None:
            continue
        begun = time.time()
        scene.site.processes.send_signal(victim, signal.SIGTERM)
        await wait_for_end(scene.site, victim)
        await start_daemon(scene, victim)
        scene.end('replace', victim, begun)
    scene.struck.discard('replacement')


async def wait_for_end(site: LocalSite, name: str) -> None:
    """Wait until a process has ended.

    :raises SiteError: when it has not within the time that it has.
    """
    deadline = time.monotonic() + TERM_SECONDS
    while site.processes.is_running(name):
        if time.monotonic() > deadline:
            raise SiteError(f'{name} does not end')
        await asyncio.sleep(_POLL)


async def start_daemon(scene: Scene, name: str) -> None:
    """Start a daemon and wait until the balancer sees it ready.

    One that does not become ready is recorded as a fault of its own, which
    a rule looks at.
    """
    scene.balancer.drop(name)
    scene.site.start_daemon(name)
    begun = time.time()
    while name not in scene.balancer.ready:
        if time.time() - begun > START_SECONDS:
            scene.end('stuck', name, begun)
            return
        await asyncio.sleep(_POLL)
