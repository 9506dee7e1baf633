"""Client of the platform's metadata store."""

from collections import Counter
from collections.abc import Mapping
from typing import Final, Protocol
from urllib.parse import urlencode

from result import Err, Ok, Result

from verbenapost.platform import names
from verbenapost.platform.fields import Fields
from verbenapost.platform.http import (
    Answer,
    Call,
    EncodedCall,
    HttpClient,
)
from verbenapost.platform.storemessages import (
    check_status,
    decode_changes,
    decode_commit,
    decode_item,
    decode_lease,
    decode_page,
    encode_transaction,
)
from verbenapost.protocol.orders import (
    CallFault,
    CallFaultKind,
    ChangeBatch,
    ItemPage,
    KeyValue,
    Transaction,
    TransactionConflict,
)

#: Timeout of a call in seconds; a healthy store answers in 4 ms.
CALL_TIMEOUT: Final = 1.0

#: Timeout of a page in seconds: up to 1 MB over the slowest links, which carry
#: other traffic too.
PAGE_TIMEOUT: Final = 3.0

#: Attempts of one page before the whole read fails.
PAGE_ATTEMPTS: Final = 3

#: Timeout of a lease renewal in seconds; short, to leave time for a retry.
RENEW_TIMEOUT: Final = 0.5

#: Timeout of a probe in seconds; a caller waits for it.
PROBE_TIMEOUT: Final = 0.5

#: Seconds that the answer to a watch may take beyond the watch's wait.
WATCH_MARGIN: Final = 0.7

_MS = 1000
_NOT_PROCESSED: Final = frozenset(
    (CallFaultKind.NOT_DONE, CallFaultKind.UNKNOWN, CallFaultKind.LIMITED)
)


def make_probe(address: str, timeout: float) -> EncodedCall:
    """Return a call without an effect that each store answers at once.

    :param address: ``IP:port`` of the store.
    :param timeout: timeout of the call in seconds.
    """
    query = urlencode({'key': names.CONFIGURATION_KEY, 'serializable': 1})
    path = f'{names.KEY_PATH}?{query}'
    return EncodedCall('GET', address, path, None, {}, timeout)


class CallObserver(Protocol):
    """Observes the calls to the store."""

    def begin(self, wait: float) -> int:
        """Record that a call is sent.

        :param wait: seconds that the store may wait before it answers.
        :returns: number of the call.
        """

    def end(self, number: int, *, answered: bool) -> None:
        """Record the outcome of a call.

        :param number: number of the call.
        :param answered: whether the store has processed the call.
        """


class PlatformStore:
    """Client of the store, with one method per call.

    :param http: HTTP client.
    :param address: ``IP:port`` of the store.
    :param observer: observes each call.
    :ivar calls: number of calls by kind and outcome.
    """

    def __init__(
        self,
        http: HttpClient,
        address: str,
        observer: CallObserver,
    ) -> None:
        self.calls: Counter[str] = Counter()
        self._observer = observer
        self._http = http
        self._address = address

    async def read_key(self, key: str) -> Result[KeyValue | None, CallFault]:
        """Return the item of a key, or ``None`` when the key does not exist."""
        query = urlencode({'key': key})
        answer = await self._call('GET', f'{names.KEY_PATH}?{query}')
        if isinstance(answer, Err):
            if answer.err_value.kind is CallFaultKind.NOT_FOUND:
                return Ok(None)
            return answer
        return decode_item(answer.ok_value)

    async def probe(self) -> bool:
        """Return whether the store answers a read without an effect."""
        query = urlencode({'key': names.CONFIGURATION_KEY, 'serializable': 1})
        path = f'{names.KEY_PATH}?{query}'
        answer = await self._call('GET', path, timeout=PROBE_TIMEOUT)
        return (
            not isinstance(answer, Err)
            or answer.err_value.kind is CallFaultKind.NOT_FOUND
        )

    async def read_page(
        self,
        prefix: str,
        after: str = '',
    ) -> Result[ItemPage, CallFault]:
        """Return one page of the keys under a prefix.

        :param prefix: prefix of the keys.
        :param after: last key of the previous page.
        """
        query = {'prefix': prefix}
        if after:
            query['after'] = after
        path = f'{names.RANGE_PATH}?{_encode_query(query)}'
        answer = await self._call('GET', path, timeout=PAGE_TIMEOUT)
        if isinstance(answer, Err):
            return answer
        return decode_page(answer.ok_value)

    async def read_range(self, prefix: str) -> Result[ItemPage, CallFault]:
        """Return all keys under a prefix.

        The pages are not a snapshot. The returned revision is that of the first
        page, so that a watch from there shows all later changes.
        """
        items: list[KeyValue] = []
        revision = 0
        while True:
            page = await self._read_page_with_retries(
                prefix, items[-1].key if items else ''
            )
            if isinstance(page, Err):
                return page
            items.extend(page.ok_value.items)
            revision = revision or page.ok_value.revision
            if not page.ok_value.truncated:
                return Ok(ItemPage(items, truncated=False, revision=revision))
            if not page.ok_value.items:
                # The keys after it are not known to be absent.
                return Err(CallFault(CallFaultKind.UNKNOWN, 'empty page'))

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[ChangeBatch, CallFault]:
        """Wait for changes under a prefix.

        :param prefix: prefix of the keys.
        :param after: revision up to which all changes are known.
        :param wait: seconds to wait, at most 30.
        :returns: the changes, or a fault; ``NOT_FOUND`` when the history after
            the revision is no longer kept.
        """
        query = urlencode(
            {'prefix': prefix, 'after': after, 'wait_ms': round(wait * _MS)},
        )
        answer = await self._call(
            'GET',
            f'{names.WATCH_PATH}?{query}',
            timeout=wait + WATCH_MARGIN,
            wait=wait,
        )
        if isinstance(answer, Err):
            return answer
        return decode_changes(answer.ok_value)

    async def commit(
        self,
        transaction: Transaction,
    ) -> Result[int, CallFault | TransactionConflict]:
        """Execute a transaction and return its revision.

        :param transaction: the transaction.
        :returns: the revision; ``TransactionConflict`` when an expectation does
            not hold; ``NOT_FOUND`` when a lease has expired.
        """
        answer = await self._call(
            'POST',
            names.TRANSACTION_PATH,
            encode_transaction(transaction),
        )
        if isinstance(answer, Err):
            return answer
        return decode_commit(answer.ok_value)

    async def grant_lease(self, ttl: float) -> Result[int, CallFault]:
        """Create a lease of ``ttl`` seconds and return its identity."""
        body = {'ttl_ms': round(ttl * _MS)}
        answer = await self._call('POST', names.LEASE_PATH, body)
        if isinstance(answer, Err):
            return answer
        return decode_lease(answer.ok_value)

    async def renew_lease(self, lease: int) -> Result[None, CallFault]:
        """Renew a lease; the fault is ``NOT_FOUND`` once it has expired."""
        answer = await self._call(
            'POST', f'{names.RENEW_PATH}/{lease}', timeout=RENEW_TIMEOUT
        )
        return answer.map(_discard)

    async def revoke_lease(self, lease: int) -> Result[None, CallFault]:
        """Revoke a lease, which removes its keys."""
        answer = await self._call('DELETE', f'{names.REVOKE_PATH}/{lease}')
        return answer.map(_discard)

    async def _read_page_with_retries(
        self,
        prefix: str,
        after: str,
    ) -> Result[ItemPage, CallFault]:
        """Read a page; all pages but the first are retried.

        The retries keep the pages that were read before.
        """
        page = await self.read_page(prefix, after)
        for _ in range(PAGE_ATTEMPTS - 1):
            if not after or not isinstance(page, Err):
                break
            page = await self.read_page(prefix, after)
        return page

    async def _call(
        self,
        method: str,
        path: str,
        body: Fields | None = None,
        timeout: float = CALL_TIMEOUT,
        wait: float = 0,
    ) -> Result[Answer, CallFault]:
        number = self._observer.begin(wait)
        checked = await self._exchange(method, path, body, timeout)
        outcome = checked.err_value.kind if isinstance(checked, Err) else 'ok'
        self._observer.end(number, answered=outcome not in _NOT_PROCESSED)
        kind = path.partition('?')[0].split('/')[2]
        self.calls[f'{kind} {outcome}'] += 1
        return checked

    async def _exchange(
        self, method: str, path: str, body: Fields | None, timeout: float
    ) -> Result[Answer, CallFault]:
        call = Call(method, self._address, path, body, timeout=timeout)
        answer = await self._http.exchange(call)
        return answer.and_then(check_status)


def _encode_query(query: Mapping[str, str]) -> str:
    """Encode a query that may hold a key of another writer."""
    return urlencode(query, errors='surrogatepass')


def _discard(_answer: Answer) -> None:
    """Discard an answer without content."""
