"""Records of the leadership in the store."""

import dataclasses
from typing import final

import msgpack


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
    try:
        return Leadership(*msgpack.unpackb(packed))
    except TypeError as fault:
        raise ValueError(str(fault)) from fault


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
    """
    return Term(*msgpack.unpackb(packed))
