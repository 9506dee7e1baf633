"""Calls to workers that the leader relays through other daemons.

Load pattern: a pool at its peak needs hundreds of starts per second. Each is an
HTTP exchange of 1 ms of CPU time, so that one process can't send them all.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Final, final

from result import Err, Ok, Result

from verbenapost.coordination.ownership import rank_members
from verbenapost.platform.http import EncodedAnswer, EncodedCall, Transport
from verbenapost.protocol.codec import CodecError
from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.scheduler.channels import Channel
from verbenapost.scheduler.messages import RelayAnswer

#: Workers for each core of the leader's VM up to which the leader sends all
#: calls itself.
DIRECT_WORKERS_PER_CORE: Final = 60

#: Seconds beyond a call's own timeout for the round trip to the relay.
RELAY_OVERHEAD_SECONDS: Final = 0.15


@final
class RelayTransport:
    """Relays the calls to each worker through one of the other daemons.

    Explanation
    ===========

    The relay is chosen by the worker's address, so that one daemon keeps the
    connections to one worker. After a failed call the next daemon in the
    ranking becomes the worker's relay, since the network between the relay and
    the worker may be cut. A call without a reply counts as unanswered by the
    worker. It may be executed late; leases and run numbers protect against that
    as they do without a relay.

    :param local: transport of this process.
    :param find_relays: returns the channels of the relays by daemon name.
    :param cores: processor capacity of this daemon in cores.
    """

    def __init__(
        self,
        local: Transport,
        find_relays: Callable[[], Mapping[str, Channel]],
        cores: float = 1,
    ) -> None:
        self._max_direct_workers = cores * DIRECT_WORKERS_PER_CORE
        self._local = local
        self._find_relays = find_relays
        self._relaying = False
        self._rank_offsets: Counter[str] = Counter()
        self._rankings: dict[str, tuple[str, ...]] = {}
        self._ranked_relays: Mapping[str, Channel] = {}

    def set_worker_count(self, workers: int) -> None:
        """Relay calls while there are many workers.

        :param workers: number of workers.
        """
        self._relaying = workers > self._max_direct_workers
        if not self._relaying:
            self._rank_offsets.clear()

    async def send(
        self,
        call: EncodedCall,
    ) -> Result[EncodedAnswer, CallFault]:
        """Send a call through the relay of its worker."""
        relay = self._choose_relay(call.address) if self._relaying else None
        if relay is None:
            return await self._local.send(call)
        answer = await relay_call(relay, call)
        if isinstance(answer, Err):
            self._rank_offsets[call.address] += 1
        return answer

    def _choose_relay(self, address: str) -> Channel | None:
        relays = self._find_relays()
        if not relays:
            return None
        if relays is not self._ranked_relays:
            self._ranked_relays = relays
            self._rankings.clear()
            self._rank_offsets.clear()
        ranked = self._rankings.get(address)
        if ranked is None:
            ranked = rank_members(address, relays)
            self._rankings[address] = ranked
        return relays[ranked[self._rank_offsets[address] % len(ranked)]]


class RelayHandler:
    """Sends relayed calls of the leader from this daemon.

    :param local: transport of this process.
    """

    def __init__(self, local: Transport) -> None:
        self._local = local

    def answer(self, message: Any) -> Any:
        """Return an awaitable of the answer to a relayed call.

        :param message: the relayed call.
        :raises ValueError: when the message is not a call.
        """
        if not isinstance(message, EncodedCall):
            raise CodecError(f'{type(message).__name__} has no answer')
        return self._send(message)

    async def _send(self, call: EncodedCall) -> RelayAnswer:
        answer = await self._local.send(call)
        if isinstance(answer, Err):
            fault = answer.err_value
            return RelayAnswer(0, b'', fault.kind.value, fault.detail)
        found = answer.ok_value
        return RelayAnswer(found.status, found.payload)


async def relay_call(
    relay: Channel, call: EncodedCall
) -> Result[EncodedAnswer, CallFault]:
    """Send a call through another daemon.

    :param relay: connection to the daemon.
    :param call: the call.
    :returns: the answer with any status, or a fault that tells whether the
        call may have had an effect.
    """
    answer = await relay.ask(call, call.timeout + RELAY_OVERHEAD_SECONDS)
    return answer.and_then(_read_answer)


def _read_answer(answer: RelayAnswer) -> Result[EncodedAnswer, CallFault]:
    if answer.fault:
        return Err(CallFault(CallFaultKind(answer.fault), answer.detail))
    return Ok(EncodedAnswer(answer.status, answer.payload))
