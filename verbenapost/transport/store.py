"""HTTP client of the platform's store."""

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
from verbenapost.transport.answerlimits import (
    DEFAULT_ANSWER_BYTES,
    decode_json,
    read_limited,
)
from verbenapost.transport.calllimits import (
    DEFAULT_RATES,
    CallClass,
    CallRate,
    CircuitBreaker,
    TokenBucket,
)
from verbenapost.transport.serverconnections import ServerConnector

#: Largest value, in bytes.
MAX_VALUE_BYTES = 1024 * 1024

#: Timeout of a call, in seconds, without the time that a watch waits.
CALL_TIMEOUT = 2.0

#: Timeout of a watch, in seconds, without the time that it waits. The store
#: answers it without any work, so a lost answer is noticed sooner.
WATCH_TIMEOUT = 0.6

#: Watches in a row without an answer after which they have the timeout of other
#: calls, so that a store that is slower than a watch's timeout is followed too.
MAX_QUICK_WATCHES = 2

#: Attempts at one read.
READ_ATTEMPTS = 3

#: Base of the random delay before a retry of a read, in seconds; retry ``n``
#: waits at most this base times ``2**n``.
RETRY_BASE_SECONDS = 0.1

#: Concurrent connections to the store.
MAX_CONNECTIONS = 16

_CLAIMS_PREFIX = 'claims/'

_Parsed = TypeVar('_Parsed')
Parser = Callable[[Any], _Parsed]


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Call:
    """A call to the store that has not been sent.

    :param kind: name of the call in the URL.
    :param writes: whether the call changes the store.
    :param wait: seconds that the store may wait before the answer.
    :param timeout: seconds beyond that until the call fails, 0 for those of the
        settings.
    """

    kind: str
    body: dict[str, Any]
    call_class: CallClass
    writes: bool = False
    wait: float = 0
    timeout: float = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Settings of the store client.

    :param url: base URL with an IP address as the host.
    :param call_timeout: timeout of a call, in seconds.
    :param read_attempts: attempts at one read.
    :param rates: rates by class of call; other classes keep the default.
    :param answer_bytes: largest body of an answer.
    """

    url: str
    call_timeout: float = CALL_TIMEOUT
    read_attempts: int = READ_ATTEMPTS
    rates: Mapping[CallClass, CallRate] = dataclasses.field(
        default_factory=dict
    )
    answer_bytes: int = DEFAULT_ANSWER_BYTES


class CallRateLimiter:
    """Rate limits by class of call, for reads and writes separately."""

    def __init__(self, rates: Mapping[CallClass, CallRate]) -> None:
        self._buckets: dict[tuple[CallClass, bool], TokenBucket] = {}
        for call_class in CallClass:
            rate = rates.get(call_class, DEFAULT_RATES[call_class])
            self._buckets[call_class, False] = _make_bucket(rate.reads)
            self._buckets[call_class, True] = _make_bucket(rate.writes)

    def set_rate(
        self, call_class: CallClass, rate: CallRate, now: float
    ) -> None:
        """Set new rates for one class of calls."""
        reads = self._buckets[call_class, False]
        reads.set_rate(rate.reads, max(1, rate.reads), now)
        writes = self._buckets[call_class, True]
        writes.set_rate(rate.writes, max(1, rate.writes), now)

    def reserve(
        self,
        call_class: CallClass,
        *,
        writes: bool,
        now: float,
        max_wait: float,
    ) -> float | None:
        """Reserve a call and return the seconds to wait before it.

        :param max_wait: seconds; nothing is reserved when the wait would be
            longer.
        :returns: seconds to wait, or ``None`` when nothing was reserved.
        """
        return self._buckets[call_class, writes].reserve(now, max_wait)


class HttpStoreClient:
    """Implementation of ``StorePort`` over one pool of HTTP connections.

    Explanation
    ===========

    A write without an answer fails with ``STORE_UNKNOWN`` and is not retried
    here: only the writer can read the key and look for its own mark in the
    value. Reads are retried with jitter. All calls are POST requests, which
    the HTTP library never retries by itself.

    :param settings: URL, timeout, attempts and rates.
    :param now: returns the monotonic time in seconds.
    :param rng: source of the jitter.
    """

    def __init__(
        self,
        settings: StoreSettings,
        now: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.rate_limiter = CallRateLimiter(settings.rates)
        self.breaker = CircuitBreaker()
        self._settings = settings
        self._now = now
        self._rng = rng or random.Random()  # noqa: S311
        self._calls: Counter[str] = Counter()
        self._lost_watches: Counter[str] = Counter()
        self._session: aiohttp.ClientSession | None = None

    @property
    def calls(self) -> dict[str, int]:
        """Return the number of calls sent so far, by kind."""
        return dict(self._calls)

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def get(self, key: str) -> Result[Entry | None, Failure]:
        """Read one key; ``None`` when it does not exist."""
        call = _Call('get', {'key': key}, classify_key(key))
        return await self._read(call, storeanswers.parse_optional_entry)

    async def list_prefix(self, prefix: str) -> Result[Listing, Failure]:
        """Read all keys that start with a prefix."""
        call = _Call('list', {'prefix': prefix}, classify_key(prefix))
        return await self._read(call, storeanswers.parse_listing)

    async def swap(
        self,
        key: str,
        expected: int,
        value: bytes,
        lease: str = '',
    ) -> Result[int, Failure]:
        """Write a value if the key's revision is ``expected``.

        :param expected: revision, or 0 to create the key.
        :param lease: lease to bind the key to, empty for none.
        :returns: the new revision.
        """
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
        """Delete a key if its revision is ``expected``."""
        body = {'key': key, 'expected': expected}
        return await self._write(_Call('delete', body, classify_key(key)), int)

    async def grant_lease(self, ttl: float) -> Result[str, Failure]:
        """Create a lease of ``ttl`` seconds and return its name."""
        call = _Call('grant_lease', {'ttl': ttl}, CallClass.LEASES)
        return await self._write(call, str)

    async def renew_lease(self, lease: str) -> Result[None, Failure]:
        """Renew a lease; fails with ``NOT_FOUND`` once it has expired."""
        call = _Call('renew_lease', {'lease': lease}, CallClass.LEASES)
        return await self._write(call, storeanswers.discard_content)

    async def revoke_lease(self, lease: str) -> Result[None, Failure]:
        """End a lease and delete its keys."""
        call = _Call('revoke_lease', {'lease': lease}, CallClass.LEASES)
        return await self._write(call, storeanswers.discard_content)

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[WatchBatch, Failure]:
        """Wait up to ``wait`` seconds for changes under a prefix.

        :param after: revision after which changes are returned.
        """
        body = {'prefix': prefix, 'after': after, 'wait': wait}
        call = _Call(
            'watch',
            body,
            classify_key(prefix),
            wait=wait,
            timeout=self._choose_watch_timeout(prefix),
        )
        batch = await self._send(call, storeanswers.parse_watch_batch)
        if isinstance(batch, Ok):
            self._lost_watches.pop(prefix, None)
        else:
            self._lost_watches[prefix] += 1
        return batch

    def _choose_watch_timeout(self, prefix: str) -> float:
        timeout = self._settings.call_timeout
        if self._lost_watches[prefix] < MAX_QUICK_WATCHES:
            timeout = min(timeout, WATCH_TIMEOUT)
        return timeout

    async def _read(
        self, call: _Call, parse: Parser[_Parsed]
    ) -> Result[_Parsed, Failure]:
        attempts = 1
        outcome = await self._send(call, parse)
        while self._may_retry(outcome, attempts):
            max_wait = RETRY_BASE_SECONDS * 2**attempts
            await asyncio.sleep(max_wait * self._rng.random())
            outcome = await self._send(call, parse)
            attempts += 1
        return outcome

    def _may_retry(self, outcome: Result[Any, Failure], attempts: int) -> bool:
        if attempts >= self._settings.read_attempts or self.breaker.is_open:
            return False
        return _is_unavailable(outcome)

    async def _write(
        self, call: _Call, parse: Parser[_Parsed]
    ) -> Result[_Parsed, Failure]:
        return await self._send(dataclasses.replace(call, writes=True), parse)

    async def _send(
        self, call: _Call, parse: Parser[_Parsed]
    ) -> Result[_Parsed, Failure]:
        admission = await self._admit(call)
        if isinstance(admission, Err):
            return admission
        self._calls[call.kind] += 1
        try:
            status, content = await self._post(call)
        except aiohttp.ClientConnectorError as fault:
            self.breaker.record_failure(self._now())
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, str(fault)))
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            ValueError,
        ) as io_error:
            self.breaker.record_failure(self._now())
            return Err(
                storeanswers.make_unanswered_failure(
                    repr(io_error), writes=call.writes
                )
            )
        return self._handle_answer(call, status, content, parse)

    def _handle_answer(
        self, call: _Call, status: int, content: Any, parse: Parser[_Parsed]
    ) -> Result[_Parsed, Failure]:
        outcome = storeanswers.parse_answer(
            status, content, parse, writes=call.writes
        )
        if _is_unavailable(outcome):
            self.breaker.record_failure(self._now())
        else:
            self.breaker.record_success()
        return outcome

    async def _admit(self, call: _Call) -> Result[None, Failure]:
        if not self.breaker.admit(self._now()):
            return _refuse_call('the circuit is open')
        wait = self.rate_limiter.reserve(
            call.call_class,
            writes=call.writes,
            now=self._now(),
            max_wait=self._settings.call_timeout,
        )
        if wait is None:
            return _refuse_call(
                f'the call budget for {call.call_class} is used up'
            )
        if wait:
            await asyncio.sleep(wait)
        return Ok(None)

    async def _post(self, call: _Call) -> tuple[int, Any]:
        session = self._get_session()
        timeout = call.timeout or self._settings.call_timeout
        limit = aiohttp.ClientTimeout(total=timeout + call.wait)
        url = f'{self._settings.url}/v1/{call.kind}'
        async with session.post(url, json=call.body, timeout=limit) as answer:
            body = await read_limited(answer, self._settings.answer_bytes)
            return answer.status, decode_json(body)

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = ServerConnector(limit=MAX_CONNECTIONS)
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session


def classify_key(key: str) -> CallClass:
    """Return the class whose rate limit applies to calls on a key."""
    if key.startswith(_CLAIMS_PREFIX):
        return CallClass.CLAIMS
    return CallClass.CONFIGURATION


def _make_bucket(rate: float) -> TokenBucket:
    return TokenBucket(rate, max(1, rate))


def _refuse_call(detail: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))


def _is_unavailable(outcome: Result[Any, Failure]) -> bool:
    if isinstance(outcome, Ok):
        return False
    return outcome.err_value.kind is ErrorKind.STORE_UNAVAILABLE
