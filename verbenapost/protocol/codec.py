"""Registry and msgpack codec of the messages between daemons."""

import dataclasses
from collections.abc import Callable
from typing import Any, TypeVar

import msgpack

#: Maximum size of one message on a peer stream, in bytes.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024

_MessageType = TypeVar('_MessageType', bound=type)

_TYPE_BY_CODE: dict[int, type] = {}
_CODE_BY_TYPE: dict[type, int] = {}
_FIELDS_BY_TYPE: dict[type, tuple[str, ...]] = {}


class CodecError(ValueError):
    """Raised for a message that is unknown, malformed or unexpected."""


def register_message(code: int) -> Callable[[_MessageType], _MessageType]:
    """Return a decorator that registers a frozen dataclass under a code.

    :param code: small integer that identifies the type on the wire; it must
        never change.
    :raises CodecError: when the code is already registered.
    """

    def decorate(message_type: _MessageType) -> _MessageType:
        if code in _TYPE_BY_CODE:
            raise CodecError(f'message code {code} is already registered')
        _TYPE_BY_CODE[code] = message_type
        _CODE_BY_TYPE[message_type] = code
        _FIELDS_BY_TYPE[message_type] = tuple(
            field.name for field in dataclasses.fields(message_type)
        )
        return message_type

    return decorate


def encode(message: Any) -> bytes:
    """Encode a registered message as a msgpack array.

    :raises CodecError: when the type is not registered.
    """
    message_type = type(message)
    code = _CODE_BY_TYPE.get(message_type)
    if code is None:
        raise CodecError(f'{message_type.__name__} is not registered')
    row = [code]
    row.extend(getattr(message, name) for name in _FIELDS_BY_TYPE[message_type])
    packed: bytes = msgpack.packb(row, default=_convert_unsupported)
    return packed


def decode(row: Any) -> Any:
    """Return the message of an unpacked msgpack array.

    Fields that a newer sender appended are dropped, and fields that an older
    sender lacks take their defaults, so that versions can run side by side.

    :raises CodecError: when the array is not a known message.
    """
    if not isinstance(row, (list, tuple)) or not row:
        raise CodecError('a message must be a non-empty array')
    message_type = (
        _TYPE_BY_CODE.get(row[0]) if isinstance(row[0], int) else None
    )
    if message_type is None:
        raise CodecError(f'message code {row[0]!r} is unknown')
    fields = row[1 : len(_FIELDS_BY_TYPE[message_type]) + 1]
    try:
        return message_type(*fields)
    except TypeError as fault:
        raise CodecError(str(fault)) from fault


def make_unpacker() -> msgpack.Unpacker:
    """Return a streaming unpacker that enforces ``MAX_MESSAGE_BYTES``."""
    return msgpack.Unpacker(
        max_buffer_size=MAX_MESSAGE_BYTES,
        use_list=False,
        strict_map_key=False,
    )


def _convert_unsupported(unsupported: Any) -> Any:
    if isinstance(unsupported, (frozenset, set)):
        return sorted(unsupported)
    raise CodecError(f'{type(unsupported).__name__} cannot be encoded')
