"""Mutual authentication of two daemons with their shared key."""

import dataclasses
import hashlib
import hmac

from verbenapost.protocol.codec import register_message

#: Length of the random challenge, in bytes.
NONCE_BYTES = 16


@register_message(1)
@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """First message of a connection, sent by the accepting side."""

    nonce: bytes


@register_message(2)
@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Answer of the connecting side to the challenge.

    :param name: name of the connecting daemon.
    :param incarnation: random text, generated at each start of the process.
    :param nonce: challenge to the accepting side.
    :param proof: see :func:`make_proof`.
    """

    name: str
    incarnation: str
    nonce: bytes
    proof: bytes


@register_message(3)
@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """Answer of the accepting side, after which other messages may follow."""

    name: str
    incarnation: str
    proof: bytes


def make_proof(key: str, nonce: bytes, name: str, incarnation: str) -> bytes:
    """Return the HMAC that proves knowledge of ``key`` for ``nonce``.

    Examples
    ========

    >>> check_proof(make_proof('k', b'n', 'a', 'i'), 'k', b'n', 'a', 'i')
    True
    >>> check_proof(make_proof('k', b'n', 'a', 'i'), 'x', b'n', 'a', 'i')
    False
    """
    message = b'\0'.join((nonce, name.encode(), incarnation.encode()))
    return hmac.digest(key.encode(), message, hashlib.sha256)


def check_proof(
    proof: object,
    key: str,
    nonce: bytes,
    name: str,
    incarnation: str,
) -> bool:
    """Return whether a proof is valid, compared in constant time."""
    if not isinstance(proof, bytes):
        return False
    return hmac.compare_digest(proof, make_proof(key, nonce, name, incarnation))
