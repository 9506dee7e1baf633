"""Calls to the store through another daemon while the direct way fails.

Load pattern: the store turns some VMs away, or the network cuts them off from
it, while it serves all others. A leader among them can't renew its lease, so
that nothing starts and no VM moves until a successor has taken over, although
the leader still reaches its workers and the other daemons.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Any, Final

from result import Result

from verbenapost.daemon.timers import read_clock
from verbenapost.platform.http import EncodedAnswer, EncodedCall, Transport
from verbenapost.platform.store import make_probe
from verbenapost.platform.storemessages import is_processed
from verbenapost.protocol.orders import CallFault
from verbenapost.scheduler.channels import Channel
from verbenapost.scheduler.relays import relay_call
from verbenapost.scheduler.tasks import TaskSet

#: Consecutive refusals after which calls take another way: a single one may
#: come from the rate limit of all daemons.
MAX_REFUSALS: Final = 2

#: Seconds after which one failed call is enough, since a lease does not leave
#: time for a second one.
SILENT_SECONDS: Final = 0.4

#: Daemons that are asked at once whether they reach the store.
PROBED_DAEMONS: Final = 3

#: Seconds that such a daemon waits for the store.
RELAY_PROBE_SECONDS: Final = 0.3

#: Seconds between two attempts to find such a daemon, and between two attempts
#: to reach the store directly.
RETRY_SECONDS: Final = 0.5

#: Seconds that a probe of the direct way waits.
DIRECT_PROBE_SECONDS: Final = 0.5

_Answer = Result[EncodedAnswer, CallFault]


class StoreTransport:
    """Sends the calls to the store directly, or through another daemon.

    Explanation
    ===========

    A call whose outcome is unknown is not repeated here: its sender knows
    whether it may be repeated. Only the calls after it take another way. While
    they do, the direct way is tried from time to time. A store that answers
    neither way is away, and calls then go the direct way.

    :param local: transport of this process.
    :param address: ``IP:port`` of the store.
    :param find_relays: returns the channels of the other daemons by name.
    :param log: logger.
    """

    def __init__(
        self,
        local: Transport,
        address: str,
        find_relays: Callable[[], Mapping[str, Channel]],
        log: Any,
    ) -> None:
        self._local = local
        self._direct_probe = make_probe(address, DIRECT_PROBE_SECONDS)
        self._relay_probe = make_probe(address, RELAY_PROBE_SECONDS)
        self._find_relays = find_relays
        self._log = log
        self._tasks = TaskSet()
        self._refusals = 0
        self._failing = False
        self._relay: Channel | None = None
        self._search: asyncio.Task[None] | None = None
        self._searched_at: float = 0

    async def send(self, call: EncodedCall) -> _Answer:
        """Send a call to the store."""
        relay = await self._choose_relay() if self._failing else None
        if relay is None:
            return await self._send_directly(call)
        answer = await relay_call(relay, call)
        if not is_processed(answer) and self._relay is relay:
            self._relay = None
        return answer

    async def close(self) -> None:
        """Stop the probes."""
        await self._tasks.close()

    async def _send_directly(self, call: EncodedCall) -> _Answer:
        sent_at = read_clock()
        answer = await self._local.send(call)
        if is_processed(answer):
            self._refusals = 0
            return answer
        self._refusals += 1
        silent = read_clock() - sent_at >= SILENT_SECONDS
        if (silent or self._refusals >= MAX_REFUSALS) and not self._failing:
            self._start_detour()
        return answer

    def _start_detour(self) -> None:
        if not self._find_relays():
            return
        self._failing = True
        self._log.warning('store not reached directly')
        self._tasks.keep(self._probe_direct_way)

    async def _probe_direct_way(self) -> None:
        while not is_processed(await self._local.send(self._direct_probe)):
            await asyncio.sleep(RETRY_SECONDS)
        self._failing = False
        self._relay = None
        self._refusals = 0
        self._log.info('store reached directly again')

    async def _choose_relay(self) -> Channel | None:
        """Return a daemon that reaches the store, or ``None``."""
        relays = self._find_relays()
        if self._relay is not None and self._relay not in relays.values():
            self._relay = None
        if self._relay is None and relays:
            await self._find_path(list(relays.values()))
        return self._relay

    async def _find_path(self, relays: list[Channel]) -> None:
        """Look for a daemon that reaches the store; one search at a time."""
        if self._search is None or self._search.done():
            now = read_clock()
            if now - self._searched_at < RETRY_SECONDS:
                return
            self._searched_at = now
            probed = random.sample(relays, min(len(relays), PROBED_DAEMONS))
            self._search = self._tasks.add(self._probe_relays(probed))
        await asyncio.wait((self._search,))

    async def _probe_relays(self, relays: list[Channel]) -> None:
        waiting = {self._tasks.add(self._probe_relay(row)) for row in relays}
        while waiting and self._relay is None:
            _, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )

    async def _probe_relay(self, relay: Channel) -> None:
        answer = await relay_call(relay, self._relay_probe)
        if is_processed(answer) and self._relay is None:
            self._relay = relay
            self._log.info('store reached through another daemon')
