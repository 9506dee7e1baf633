"""Callers' API keys, which leave this module only as digests."""

import enum
import hashlib
from typing import Final

from result import Err, Ok, Result

from verbenapost.platform.names import AUTHORIZATION_SCHEME

_SCHEME: Final = AUTHORIZATION_SCHEME.lower().encode()

#: Words of a well-formed header: the scheme and the key.
_WORDS: Final = 2


@enum.unique
class AuthenticationFault(enum.StrEnum):
    """Reasons for which a request has no tenant."""

    MISSING = 'missing'
    MALFORMED = 'malformed'
    UNKNOWN = 'unknown'


def digest_key(key: bytes) -> bytes:
    """Return the digest under which an API key is kept and looked up."""
    return hashlib.sha256(key).digest()


def read_authorization(
    header: bytes | None,
) -> Result[bytes, AuthenticationFault]:
    """Return the digest of the API key in a caller's header.

    Examples
    ========

    >>> read_authorization(b'Token pqk8').ok() == digest_key(b'pqk8')
    True
    >>> read_authorization(b'Token a, Token b')
    Err(<AuthenticationFault.MALFORMED: 'malformed'>)

    :param header: value of the header; ``None`` without one. Several headers
        are joined by commas, which makes them malformed.
    """
    if not header:
        return Err(AuthenticationFault.MISSING)
    words = header.split()
    if len(words) != _WORDS or words[0].lower() != _SCHEME:
        return Err(AuthenticationFault.MALFORMED)
    return Ok(digest_key(words[1]))
