"""Records that the slots of a claim ring hold."""

import dataclasses
import struct
from collections.abc import Iterable, Iterator
from typing import Any, final

import msgpack

#: Prefix of the store keys that hold claims.
CLAIMS_PREFIX = 'claims/'

#: Bytes of an idempotency key.
KEY_BYTES = 16

#: Bytes of the digest of a request.
FINGERPRINT_BYTES = 8

_FORMAT = 1
_TIME_BYTES = 6
_ROW = struct.Struct(f'>{KEY_BYTES}sQ{FINGERPRINT_BYTES}s')


class RecordError(ValueError):
    """Bytes that are no slot record."""


@final
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRow:
    """One claim.

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
    """How a claim ended.

    :param key: idempotency key.
    :param attempt: attempt that held the claim.
    :param released: the request did not run and the key is free again.
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
class SlotRecord:
    """Value of one slot.

    :param size: slots of the ring.
    :param sequence: consecutive number of the record, from 1.
    :param writer: process that wrote it.
    :param floor: milliseconds; keys of this time or before are never claimed
        any more.
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
    """Return the Unix time in a UUIDv7, in milliseconds."""
    return int.from_bytes(key[:_TIME_BYTES], 'big')


def pack_claims(rows: Iterable[ClaimRow]) -> bytes:
    """Return claim rows in their packed form."""
    return b''.join(
        _ROW.pack(row.key, row.attempt, row.fingerprint) for row in rows
    )


def split_claims(claims: bytes) -> Iterator[bytes]:
    """Return the packed rows one by one."""
    size = _ROW.size
    return (
        claims[start : start + size] for start in range(0, len(claims), size)
    )


def unpack_claim(row: bytes) -> ClaimRow:
    """Return a packed row's typed form."""
    return ClaimRow(*_ROW.unpack(row))


def read_claim_key(row: bytes) -> bytes:
    """Return the key of a packed row."""
    return row[:KEY_BYTES]


def read_claim_attempt(row: bytes) -> int:
    """Return the attempt of a packed row."""
    return int.from_bytes(row[KEY_BYTES:-FINGERPRINT_BYTES], 'big')


def pack_slot(record: SlotRecord) -> bytes:
    """Return the record as bytes for the store."""
    outcomes = [dataclasses.astuple(row) for row in record.outcomes]
    head = (_FORMAT, record.size, record.sequence, record.writer)
    packed: bytes = msgpack.packb(
        (*head, record.floor, record.claims, outcomes)
    )
    return packed


def unpack_slot(value: bytes) -> SlotRecord:
    """Return the record from its bytes.

    :raises RecordError: when the value is no slot record.
    """
    try:
        version, *fields = msgpack.unpackb(value, use_list=False)
    except (ValueError, TypeError, msgpack.UnpackException) as fault:
        raise RecordError('a slot is no msgpack array') from fault
    if version != _FORMAT:
        raise RecordError(f'slot format {version!r} is unknown')
    try:
        record = _build_slot(*fields)
    except TypeError as mismatch:
        raise RecordError('a slot has wrong fields') from mismatch
    if len(record.claims) % _ROW.size:
        raise RecordError('the claims of a slot are cut short')
    return record


def _build_slot(
    size: int,
    sequence: int,
    writer: str,
    floor: int,
    claims: bytes,
    outcomes: tuple[tuple[Any, ...], ...],
) -> SlotRecord:
    rows = tuple(OutcomeRow(*row) for row in outcomes)
    return SlotRecord(size, sequence, writer, floor, claims, rows)
