"""Client of the platform's store over HTTP and JSON."""

import asyncio
import base64
import dataclasses
import random
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, TypeVar, final

import aiohttp
from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import Entry, Listing, WatchBatch
from verbenapost.transport import storeanswers
from verbenapost.transport.budget import (
    DEFAULT_RATES,
    CallClass,
    CallRate,
    CircuitBreaker,
    TokenBucket,
)

#: Bytes that a value may have.
MAX_VALUE_BYTES = 1024 * 1024

#: Seconds that a call may take.
CALL_TIMEOUT = 2.0

#: Tries of one read.
READ_TRIES = 3

#: Seconds before the second try of a read, at most.
RETRY_SECONDS = 0.1

#: Connections to the store.
MAX_CONNECTIONS = 16

_CLAIMS_PREFIX = 'claims/'

_Shape = TypeVar('_Shape')
Parser = Callable[[Any], _Shape]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    kind: str
    body: dict[str, Any]
    call_class: CallClass
    writes: bool = False
    wait: float = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """How the client treats the store.

    :param url: base URL with an IP number.
    :param call_timeout: seconds that a call may take.
    :param read_tries: tries of one read.
    :param rates: calls a second by class.
    """

    url: str
    call_timeout: float = CALL_TIMEOUT
    read_tries: int = READ_TRIES
    rates: Mapping[CallClass, CallRate] = dataclasses.field(
        default_factory=dict
    )


class CallBudget:
    """Token buckets by class of call, for reads and writes apart."""

    def __init__(self, rates: Mapping[CallClass, CallRate]) -> None:
        self._buckets: dict[tuple[CallClass, bool], TokenBucket] = {}
        for call_class in CallClass:
            rate = rates.get(call_class, DEFAULT_RATES[call_class])
            self._buckets[call_class, False] = _make_bucket(rate.reads)
            self._buckets[call_class, True] = _make_bucket(rate.writes)

    def change(self, call_class: CallClass, rate: CallRate, now: float) -> None:
        """Set new rates of one class."""
        reads = self._buckets[call_class, False]
        reads.change(rate.reads, max(1, rate.reads), now)
        writes = self._buckets[call_class, True]
        writes.change(rate.writes, max(1, rate.writes), now)

    def reserve(
        self, call_class: CallClass, *, writes: bool, now: float, longest: float
    ) -> float | None:
        """Return the seconds to wait for a call, ``None`` if too long."""
        return self._buckets[call_class, writes].reserve(now, longest)


class HttpStore:
    """A ``StorePort`` over one pool of connections to the store.

    Explanation
    ===========

    A write whose answer is missing is reported as ``STORE_UNKNOWN`` and never
    sent again here: only its author can look for its mark. Reads are tried
    again with jitter. All calls are POST requests, which the HTTP library
    never repeats by itself.

    :param settings: URL, time limits and rates.
    :param now: clock that returns monotonic seconds.
    :param chance: source of jitter.
    """

    def __init__(
        self,
        settings: StoreSettings,
        now: Callable[[], float] = time.monotonic,
        chance: random.Random | None = None,
    ) -> None:
        self.budget = CallBudget(settings.rates)
        self.breaker = CircuitBreaker()
        self._settings = settings
        self._now = now
        self._chance = chance or random.Random()  # noqa: S311
        self._calls: Counter[str] = Counter()
        self._session: aiohttp.ClientSession | None = None

    @property
    def calls(self) -> dict[str, int]:
        """Return the number of calls sent so far by kind."""
        return dict(self._calls)

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, key: str) -> Result[Entry | None, Failure]:
        """Read one key; ``None`` when it does not exist."""
        call = _Call('get', {'key': key}, classify_key(key))
        return await self._read(call, storeanswers.parse_optional)

    async def list_prefix(self, prefix: str) -> Result[Listing, Failure]:
        """Read all keys that start with the prefix."""
        call = _Call('list', {'prefix': prefix}, classify_key(prefix))
        return await self._read(call, storeanswers.parse_listing)

    async def swap(
        self,
        key: str,
        expected: int,
        value: bytes,
        lease: str = '',
    ) -> Result[int, Failure]:
        """Write when the key's revision is ``expected``."""
        if len(value) > MAX_VALUE_BYTES:
            return Err(Failure(ErrorKind.TOO_LARGE, f'value of {key}'))
        body = {
            'key': key,
            'expected': expected,
            'value': base64.b64encode(value).decode(),
            'lease': lease,
        }
        call_class = CallClass.LEASES if lease else classify_key(key)
        return await self._write(_Call('swap', body, call_class), int)

    async def delete(self, key: str, expected: int) -> Result[int, Failure]:
        """Delete the key when its revision is ``expected``."""
        body = {'key': key, 'expected': expected}
        return await self._write(_Call('delete', body, classify_key(key)), int)

    async def grant_lease(self, ttl: float) -> Result[str, Failure]:
        """Create a lease of ``ttl`` seconds and return its name."""
        call = _Call('grant_lease', {'ttl': ttl}, CallClass.LEASES)
        return await self._write(call, str)

    async def renew_lease(self, lease: str) -> Result[None, Failure]:
        """Renew a lease; ``NOT_FOUND`` once it has expired."""
        call = _Call('renew_lease', {'lease': lease}, CallClass.LEASES)
        return await self._write(call, storeanswers.parse_nothing)

    async def revoke_lease(self, lease: str) -> Result[None, Failure]:
        """End a lease and delete its keys."""
        call = _Call('revoke_lease', {'lease': lease}, CallClass.LEASES)
        return await self._write(call, storeanswers.parse_nothing)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[WatchBatch, Failure]:
        """Wait up to ``wait`` seconds for changes after a revision."""
        body = {'prefix': prefix, 'after': after, 'wait': wait}
        call = _Call('watch', body, classify_key(prefix), wait=wait)
        return await self._send(call, storeanswers.parse_batch)

    async def _read(
        self, call: _Call, parse: Parser[_Shape]
    ) -> Result[_Shape, Failure]:
        tries = 1
        outcome = await self._send(call, parse)
        while self._may_retry(outcome, tries):
            longest = RETRY_SECONDS * 2**tries
            await asyncio.sleep(longest * self._chance.random())
            outcome = await self._send(call, parse)
            tries += 1
        return outcome

    def _may_retry(self, outcome: Result[Any, Failure], tries: int) -> bool:
        if tries >= self._settings.read_tries or self.breaker.is_open:
            return False
        return _is_unavailable(outcome)

    async def _write(
        self, call: _Call, parse: Parser[_Shape]
    ) -> Result[_Shape, Failure]:
        return await self._send(dataclasses.replace(call, writes=True), parse)

    async def _send(
        self, call: _Call, parse: Parser[_Shape]
    ) -> Result[_Shape, Failure]:
        admission = await self._admit(call)
        if isinstance(admission, Err):
            return admission
        self._calls[call.kind] += 1
        try:
            status, content = await self._post(call)
        except aiohttp.ClientConnectorError as fault:
            self.breaker.record_failure(self._now())
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, str(fault)))
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as cut:
            self.breaker.record_failure(self._now())
            return Err(
                storeanswers.explain_silence(repr(cut), writes=call.writes)
            )
        return self._judge(call, status, content, parse)

    def _judge(
        self, call: _Call, status: int, content: Any, parse: Parser[_Shape]
    ) -> Result[_Shape, Failure]:
        outcome = storeanswers.read_answer(
            status, content, parse, writes=call.writes
        )
        if _is_unavailable(outcome):
            self.breaker.record_failure(self._now())
        else:
            self.breaker.record_success()
        return outcome

    async def _admit(self, call: _Call) -> Result[None, Failure]:
        if not self.breaker.admit(self._now()):
            return _refuse('the circuit is open')
        wait = self.budget.reserve(
            call.call_class,
            writes=call.writes,
            now=self._now(),
            longest=self._settings.call_timeout,
        )
        if wait is None:
            return _refuse(f'the call budget for {call.call_class} is used up')
        if wait:
            await asyncio.sleep(wait)
        return Ok(None)

    async def _post(self, call: _Call) -> tuple[int, Any]:
        session = self._open_session()
        limit = aiohttp.ClientTimeout(
            total=self._settings.call_timeout + call.wait
        )
        url = f'{self._settings.url}/v1/{call.kind}'
        async with session.post(url, json=call.body, timeout=limit) as answer:
            return answer.status, await answer.json()

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


def classify_key(key: str) -> CallClass:
    """Return the class whose budget pays for calls on a key."""
    if key.startswith(_CLAIMS_PREFIX):
        return CallClass.CLAIMS
    return CallClass.CONFIGURATION


def _make_bucket(rate: float) -> TokenBucket:
    return TokenBucket(rate, max(1, rate))


def _refuse(detail: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))


def _is_unavailable(outcome: Result[Any, Failure]) -> bool:
    if isinstance(outcome, Ok):
        return False
    return outcome.err_value.kind is ErrorKind.STORE_UNAVAILABLE
