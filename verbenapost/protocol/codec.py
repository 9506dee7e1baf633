"""Registry and msgpack codec of the messages between daemons."""

import dataclasses
from collections.abc import Callable
from typing import Any, TypeVar

import msgpack

#: Bytes that one message may take on a peer stream.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024

_MessageType = TypeVar('_MessageType', bound=type)

_TYPES: dict[int, type] = {}
_CODES: dict[type, int] = {}
_FIELDS: dict[type, tuple[str, ...]] = {}


class CodecError(ValueError):
    """Bytes that are no known message."""


def register_message(code: int) -> Callable[[_MessageType], _MessageType]:
    """Register a frozen dataclass under a code that never changes.

    :param code: small integer that stands for the type on the wire.
    :raises CodecError: when the code is taken.
    """

    def decorate(message_type: _MessageType) -> _MessageType:
        if code in _TYPES:
            raise CodecError(f'message code {code} is taken')
        _TYPES[code] = message_type
        _CODES[message_type] = code
        _FIELDS[message_type] = tuple(
            field.name for field in dataclasses.fields(message_type)
        )
        return message_type

    return decorate


def encode(message: Any) -> bytes:
    """Encode a registered message as a msgpack array.

    :raises CodecError: when the type is not registered.
    """
    message_type = type(message)
    code = _CODES.get(message_type)
    if code is None:
        raise CodecError(f'{message_type.__name__} is no registered message')
    row = [code]
    row.extend(getattr(message, name) for name in _FIELDS[message_type])
    packed: bytes = msgpack.packb(row, default=_pack_unknown)
    return packed


def decode(row: Any) -> Any:
    """Build the message from an unpacked msgpack array.

    Fields that a newer sender appended are dropped and fields that an older
    sender lacks take their defaults, so that versions can run side by side.

    :raises CodecError: when it is no known message.
    """
    if not isinstance(row, (list, tuple)) or not row:
        raise CodecError('a message is a non-empty array')
    message_type = _TYPES.get(row[0]) if isinstance(row[0], int) else None
    if message_type is None:
        raise CodecError(f'message code {row[0]!r} is unknown')
    fields = row[1 : len(_FIELDS[message_type]) + 1]
    try:
        return message_type(*fields)
    except TypeError as fault:
        raise CodecError(str(fault)) from fault


def make_unpacker() -> msgpack.Unpacker:
    """Return a streaming unpacker with the size limit set."""
    return msgpack.Unpacker(
        max_buffer_size=MAX_MESSAGE_BYTES,
        use_list=False,
        strict_map_key=False,
    )


def _pack_unknown(member: Any) -> Any:
    if isinstance(member, (frozenset, set)):
        return sorted(member)
    raise CodecError(f'{type(member).__name__} can not be encoded')
