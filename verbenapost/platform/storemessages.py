"""Requests and answers of the platform's metadata store."""

import base64
from collections.abc import Callable
from typing import Final, TypeVar

from result import Err, Ok, Result

from verbenapost.platform.fields import (
    FieldError,
    Fields,
    read_count,
    read_flag,
    read_object,
    read_rows,
    read_text,
)
from verbenapost.platform.http import Answer, EncodedAnswer
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

_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_LIMITED = 429
_UNAVAILABLE = 503
_MISSING: Final = CallFault(CallFaultKind.NOT_FOUND)
_REFUSED: Final = frozenset((_LIMITED, _UNAVAILABLE))

_Decoded = TypeVar('_Decoded')


def is_processed(answer: Result[EncodedAnswer, CallFault]) -> bool:
    """Return whether the store has processed a call.

    :param answer: answer of the store.
    """
    return isinstance(answer, Ok) and answer.ok_value.status not in _REFUSED


def check_status(answer: Answer) -> Result[Answer, CallFault]:
    """Return the fault that a status stands for, or the answer.

    :param answer: answer of the store.
    """
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


def encode_transaction(transaction: Transaction) -> Fields:
    """Return the body of a transaction.

    :param transaction: the transaction.
    """
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


def decode_item(answer: Answer) -> Result[KeyValue, CallFault]:
    """Return the item of a key.

    :param answer: answer to a read of the key.
    """
    return _decode(answer, _read_item)


def decode_page(answer: Answer) -> Result[ItemPage, CallFault]:
    """Return a page of the keys under a prefix.

    :param answer: answer to a read of the prefix.
    """
    return _decode(answer, _read_page)


def decode_changes(answer: Answer) -> Result[ChangeBatch, CallFault]:
    """Return the changes under a prefix.

    :param answer: answer to a watch.
    """
    return _decode(answer, _read_changes)


def decode_commit(
    answer: Answer,
) -> Result[int, CallFault | TransactionConflict]:
    """Return the revision of a transaction, or why it was not applied.

    :param answer: answer to the transaction.
    """
    if answer.status == _CONFLICT:
        return _decode(answer, _read_conflict).and_then(_fail)
    return _decode(answer, _read_revision)


def decode_lease(answer: Answer) -> Result[int, CallFault]:
    """Return the identity of a new lease.

    :param answer: answer to the grant.
    """
    return _decode(answer, _read_lease)


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
