"""Records of the leadership in the store."""

import dataclasses
from typing import Any, final

import msgpack

from verbenapost.platform.addresses import parse_address


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Leadership:
    """The daemon that leads, as stored in the leader key.

    :param token: fencing token; increases with each leader.
    :param daemon: name of the daemon.
    :param incarnation: random identity of the process.
    :param address: ``IP:port`` at which the daemon accepts peer streams.
    """

    token: int
    daemon: str
    incarnation: str
    address: str

    def pack(self) -> bytes:
        """Return the bytes that the key holds."""
        packed: bytes = msgpack.packb(dataclasses.astuple(self))
        return packed


def unpack_leadership(packed: bytes) -> Leadership:
    """Return the leadership stored in the leader key.

    :param packed: value of the key.
    :raises ValueError: when the value can't be decoded.
    """
    fields = _unpack(packed, (int, str, str, str))
    if len(fields) != len(dataclasses.fields(Leadership)):
        raise ValueError('fields are missing')
    found = Leadership(*fields)
    parse_address(found.address)
    return found


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """The last fencing token that was used, as stored in the term key.

    :param token: the token.
    :param resigned: whether its holder resigned in an orderly stop.
    """

    token: int
    resigned: bool = False

    def pack(self) -> bytes:
        """Return the bytes that the key holds."""
        packed: bytes = msgpack.packb(dataclasses.astuple(self))
        return packed


def unpack_term(packed: bytes) -> Term:
    """Return the term stored in the term key.

    >>> unpack_term(Term(3, resigned=True).pack())
    Term(token=3, resigned=True)

    :param packed: value of the key.
    :raises ValueError: when the value can't be decoded.
    """
    fields = _unpack(packed, (int, bool))
    if not fields:
        raise ValueError('the token is missing')
    return Term(*fields)


def _unpack(packed: bytes, types: tuple[type, ...]) -> list[Any]:
    """Return the fields of a record, which another writer may have left.

    :raises ValueError: when the value is not an array of these types.
    """
    fields = msgpack.unpackb(packed)
    if not isinstance(fields, list) or len(fields) > len(types):
        raise ValueError('not an array of the expected length')
    if not all(map(_has_type, fields, types)):
        raise ValueError('a field has another type')
    return fields


def _has_type(found: Any, wanted: type) -> bool:
    # A bool is an int in Python, but it is no token.
    return isinstance(found, wanted) and (
        wanted is bool or not isinstance(found, bool)
    )
