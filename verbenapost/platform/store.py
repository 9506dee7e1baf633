"""Client of the platform's metadata store."""

import base64
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Final, Protocol, TypeVar
from urllib.parse import urlencode

from result import Err, Ok, Result

from verbenapost.platform import names
from verbenapost.platform.fields import (
    FieldError,
    Fields,
    read_count,
    read_flag,
    read_object,
    read_rows,
    read_text,
)
from verbenapost.platform.http import (
    Answer,
    Call,
    EncodedAnswer,
    EncodedCall,
    HttpClient,
)
from verbenapost.protocol.orders import (
    CallFault,
    CallFaultKind,
    ChangeBatch,
    ItemPage,
    KeyChange,
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
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_LIMITED = 429
_UNAVAILABLE = 503
_MISSING: Final = CallFault(CallFaultKind.NOT_FOUND)
_REFUSED: Final = frozenset((_LIMITED, _UNAVAILABLE))
_NOT_PROCESSED: Final = frozenset(
    (CallFaultKind.NOT_DONE, CallFaultKind.UNKNOWN, CallFaultKind.LIMITED)
)

_Decoded = TypeVar('_Decoded')


def is_processed(answer: Result[EncodedAnswer, CallFault]) -> bool:
    """Return whether the store has processed a call.

    :param answer: answer of the store.
    """
    return isinstance(answer, Ok) and answer.ok_value.status not in _REFUSED


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
        return _decode(answer.ok_value, _read_item)

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
        return _decode(answer.ok_value, _read_page)

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
        return _decode(answer.ok_value, _read_changes)

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
            _encode_transaction(transaction),
        )
        if isinstance(answer, Err):
            return answer
        found = answer.ok_value
        if found.status == _CONFLICT:
            return _decode(found, _read_conflict).and_then(_fail)
        return _decode(found, _read_revision)

    async def grant_lease(self, ttl: float) -> Result[int, CallFault]:
        """Create a lease of ``ttl`` seconds and return its identity."""
        body = {'ttl_ms': round(ttl * _MS)}
        answer = await self._call('POST', names.LEASE_PATH, body)
        if isinstance(answer, Err):
            return answer
        return _decode(answer.ok_value, _read_lease)

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
        return answer.and_then(_check_status)


def _encode_query(query: Mapping[str, str]) -> str:
    """Encode a query that may hold a key of another writer."""
    return urlencode(query, errors='surrogatepass')


def _check_status(answer: Answer) -> Result[Answer, CallFault]:
    """Return the fault that a status stands for, or the answer."""
    status = answer.status
    if answer.ok or status == _CONFLICT:
        return Ok(answer)
    if status in {_NOT_FOUND, _GONE}:
        return Err(_MISSING)
    if status == _LIMITED:
        return Err(
            CallFault(
                CallFaultKind.LIMITED, 'the rate limit of the store is exceeded'
            )
        )
    if status == _UNAVAILABLE:
        return Err(
            CallFault(CallFaultKind.NOT_DONE, 'the store is unavailable')
        )
    return Err(CallFault(CallFaultKind.REFUSED, f'status {status}'))


def _decode(
    answer: Answer,
    read: Callable[[Fields], _Decoded],
) -> Result[_Decoded, CallFault]:
    try:
        return Ok(read(answer.fields))
    except ValueError as fault:
        return Err(CallFault(CallFaultKind.UNKNOWN, str(fault)))


def _fail(conflict: TransactionConflict) -> Result[int, TransactionConflict]:
    return Err(conflict)


def _discard(_answer: Answer) -> None:
    """Discard an answer without content."""


def _encode_transaction(transaction: Transaction) -> Fields:
    return {
        'expect': [
            {'key': row.key, 'revision': row.revision}
            for row in transaction.expected
        ],
        'writes': [
            {
                'key': row.key,
                'value': base64.b64encode(row.value).decode(),
                'lease': row.lease,
            }
            for row in transaction.writes
        ],
        'remove': list(transaction.removed),
    }


def _read_item(fields: Fields) -> KeyValue:
    return KeyValue(
        _read_key(fields),
        base64.b64decode(read_text(fields, 'value', '')),
        read_count(fields, 'revision'),
        read_count(fields, 'lease', 0),
    )


def _read_key(fields: Fields) -> str:
    """Return a key of any writer, which UTF-8 may be unable to encode."""
    key = fields.get('key')
    if not isinstance(key, str):
        raise FieldError('key', 'must be a string')
    return key


def _read_change(fields: Fields) -> KeyChange:
    item = _read_item(fields)
    value = None if read_flag(fields, 'removed') else item.value
    return KeyChange(item.key, value, item.revision)


def _read_page(fields: Fields) -> ItemPage:
    return ItemPage(
        [
            _read_item(read_object(row, 'items'))
            for row in read_rows(fields, 'items')
        ],
        truncated=read_flag(fields, 'truncated'),
        revision=read_count(fields, 'store_revision'),
    )


def _read_changes(fields: Fields) -> ChangeBatch:
    return ChangeBatch(
        [
            _read_change(read_object(row, 'events'))
            for row in read_rows(fields, 'events')
        ],
        read_count(fields, 'store_revision'),
    )


def _read_conflict(fields: Fields) -> TransactionConflict:
    return TransactionConflict(
        [
            _read_item(read_object(row, 'items'))
            for row in read_rows(fields, 'items')
        ],
    )


def _read_revision(fields: Fields) -> int:
    return read_count(fields, 'revision')


def _read_lease(fields: Fields) -> int:
    return read_count(fields, 'lease')
