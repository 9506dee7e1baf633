"""Records in the slots of a claim ring."""

import dataclasses
import struct
from collections.abc import Iterable, Iterator
from typing import Any, final

import msgpack

#: Prefix of the store keys that hold claims.
CLAIMS_PREFIX = 'claims/'

#: Length of an idempotency key, in bytes.
KEY_BYTES = 16

#: Length of the digest of a request, in bytes.
FINGERPRINT_BYTES = 8

_FORMAT = 1
_KEY_TIME_BYTES = 6
_CLAIM_STRUCT = struct.Struct(f'>{KEY_BYTES}sQ{FINGERPRINT_BYTES}s')


class RingSlotRecordError(ValueError):
    """Raised for bytes that are not a slot record."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRow:
    """Claim of an idempotency key by one attempt.

    :param key: idempotency key.
    :param attempt: attempt that holds the claim.
    :param fingerprint: digest of the request.
    """

    key: bytes
    attempt: int
    fingerprint: bytes


@final
@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeRow:
    """Outcome of a claim.

    :param key: idempotency key.
    :param attempt: attempt that held the claim.
    :param released: whether the request did not run, so that the key is free
        again.
    :param status: HTTP status of the answer.
    :param content_type: media type of the answer.
    :param body: body of the answer, or ``None``.
    """

    key: bytes
    attempt: int
    released: bool
    status: int = 0
    content_type: str = ''
    body: bytes | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class RingSlotRecord:
    """Value of one slot of the ring.

    :param size: number of slots of the ring.
    :param sequence: consecutive number of the record, from 1.
    :param writer: process that wrote the record.
    :param floor: Unix time in milliseconds; keys with this time or an earlier
        one can no longer be claimed.
    :param claims: packed claim rows.
    :param outcomes: outcomes of earlier claims.
    """

    size: int
    sequence: int
    writer: str
    floor: int
    claims: bytes = b''
    outcomes: tuple[OutcomeRow, ...] = ()


def read_key_time(key: bytes) -> int:
    """Return the Unix time of a UUIDv7 in milliseconds."""
    return int.from_bytes(key[:_KEY_TIME_BYTES], 'big')


def pack_claims(rows: Iterable[ClaimRow]) -> bytes:
    """Return the packed form of claim rows."""
    return b''.join(
        _CLAIM_STRUCT.pack(row.key, row.attempt, row.fingerprint)
        for row in rows
    )


def split_claims(claims: bytes) -> Iterator[bytes]:
    """Return an iterator over the packed claim rows."""
    length = _CLAIM_STRUCT.size
    return (
        claims[start : start + length]
        for start in range(0, len(claims), length)
    )


def unpack_claim(row: bytes) -> ClaimRow:
    """Return a claim row from its packed form."""
    return ClaimRow(*_CLAIM_STRUCT.unpack(row))


def read_claim_key(row: bytes) -> bytes:
    """Return the idempotency key of a packed claim row."""
    return row[:KEY_BYTES]


def read_claim_attempt(row: bytes) -> int:
    """Return the attempt of a packed claim row."""
    return int.from_bytes(row[KEY_BYTES:-FINGERPRINT_BYTES], 'big')


def pack_slot(record: RingSlotRecord) -> bytes:
    """Return the record as bytes for the store."""
    outcomes = [dataclasses.astuple(row) for row in record.outcomes]
    header = (_FORMAT, record.size, record.sequence, record.writer)
    packed: bytes = msgpack.packb(
        (*header, record.floor, record.claims, outcomes)
    )
    return packed


def unpack_slot(value: bytes) -> RingSlotRecord:
    """Return the record from its bytes.

    :raises RingSlotRecordError: when the value is not a slot record.
    """
    try:
        version, *fields = msgpack.unpackb(value, use_list=False)
    except (ValueError, TypeError, msgpack.UnpackException) as fault:
        raise RingSlotRecordError('the slot is not a msgpack array') from fault
    if version != _FORMAT:
        raise RingSlotRecordError(f'slot format {version!r} is unknown')
    try:
        record = _build_slot(*fields)
    except TypeError as mismatch:
        raise RingSlotRecordError('the slot has invalid fields') from mismatch
    if len(record.claims) % _CLAIM_STRUCT.size:
        raise RingSlotRecordError('the claims of the slot are truncated')
    return record


def _build_slot(
    size: int,
    sequence: int,
    writer: str,
    floor: int,
    claims: bytes,
    outcomes: tuple[tuple[Any, ...], ...],
) -> RingSlotRecord:
    rows = tuple(OutcomeRow(*row) for row in outcomes)
    return RingSlotRecord(size, sequence, writer, floor, claims, rows)
