"""Idempotency keys: format, timestamp and validity window."""

import dataclasses
import enum
import uuid
from typing import final

import xxhash
from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.state.claims import read_key_time

#: Seconds after its timestamp during which a key may be used.
DEFAULT_LIFETIME_SECONDS = 300.0

#: Maximum seconds by which the timestamp of a key may lie in the future.
DEFAULT_SKEW_SECONDS = 30.0

_KEY_VERSION = 7
_MILLISECONDS_PER_SECOND = 1000


@enum.unique
class KeyAge(enum.Enum):
    """Position of the timestamp of a key relative to the window."""

    IN_WINDOW = 'in_window'
    TOO_OLD = 'too_old'
    TOO_NEW = 'too_new'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class KeyWindow:
    """Range of timestamps in which a key is accepted.

    Examples
    ========

    >>> window = KeyWindow(lifetime=300, skew=30)
    >>> key = parse_key('017f22e2-79b0-7cc3-98c4-dc0c0c07398f').ok()
    >>> window.classify(key, wall=1645557742.0 + 100).value
    'in_window'
    >>> window.classify(key, wall=1645557742.0 + 301).value
    'too_old'

    :param lifetime: seconds after its timestamp during which a key may be used.
    :param skew: seconds by which a timestamp may lie in the future.
    """

    lifetime: float = DEFAULT_LIFETIME_SECONDS
    skew: float = DEFAULT_SKEW_SECONDS

    def classify(self, key: bytes, wall: float) -> KeyAge:
        """Return where the timestamp of a key lies.

        :param key: 16-byte form of the key.
        :param wall: Unix time in seconds.
        """
        age = wall - read_key_time(key) / _MILLISECONDS_PER_SECOND
        if age > self.lifetime:
            return KeyAge.TOO_OLD
        if age < -self.skew:
            return KeyAge.TOO_NEW
        return KeyAge.IN_WINDOW

    def is_expired(self, key_time: int, wall: float) -> bool:
        """Return whether keys with a timestamp are too old.

        :param key_time: Unix time in milliseconds.
        :param wall: Unix time in seconds.
        """
        return wall - key_time / _MILLISECONDS_PER_SECOND > self.lifetime


def parse_key(text: str) -> Result[bytes, Failure]:
    """Return the 16-byte form of a UUIDv7.

    :returns: the bytes, or ``BAD_REQUEST`` if the text is not a UUIDv7.

    Examples
    ========

    >>> parse_key('5c146b14-3c52-4afd-938a-375d0df1fbf6').err().detail
    'the idempotency key is no UUIDv7'
    """
    try:
        parsed = uuid.UUID(text)
    except (ValueError, AttributeError, TypeError):
        return _refuse_key()
    if parsed.version != _KEY_VERSION:
        return _refuse_key()
    return Ok(parsed.bytes)


def fingerprint_request(
    team: str, method: str, service: str, path: str, body: bytes
) -> bytes:
    """Return a digest that distinguishes requests with the same key.

    Examples
    ========

    >>> first = fingerprint_request('a', 'POST', 'booking', '/visits', b'1')
    >>> first == fingerprint_request('a', 'POST', 'booking', '/visits', b'2')
    False
    """
    digest = xxhash.xxh3_64()
    for part in (team, method, service, path):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    digest.update(body)
    return digest.digest()


def pick_shard(key: bytes, shards: int) -> int:
    """Return the claim shard of a key.

    The last bytes of a UUIDv7 are random, so the keys spread evenly over the
    shards.
    """
    return int.from_bytes(key[-4:], 'big') % shards


def _refuse_key() -> Err[Failure]:
    detail = 'the idempotency key is no UUIDv7'
    return Err(Failure(ErrorKind.BAD_REQUEST, detail))
