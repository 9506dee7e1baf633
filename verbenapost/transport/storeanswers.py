"""Typed forms of the store's JSON answers."""

import base64
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeVar

from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import Entry, Event, Listing, WatchBatch

_Shape = TypeVar('_Shape')


def explain_silence(detail: str, *, writes: bool) -> Failure:
    """Return the failure of a call that got no usable answer."""
    if writes:
        return Failure(ErrorKind.STORE_UNKNOWN, detail)
    return Failure(ErrorKind.STORE_UNAVAILABLE, detail)


def read_answer(
    status: int,
    content: Any,
    parse: Callable[[Any], _Shape],
    *,
    writes: bool,
) -> Result[_Shape, Failure]:
    """Return the result or failure that an answer stands for."""
    try:
        if status == HTTPStatus.OK:
            return Ok(parse(content['result']))
        failure = Failure(ErrorKind(content['kind']), content['detail'])
    except (KeyError, TypeError, ValueError) as fault:
        detail = f'status {status}: {fault!r}'
        return Err(explain_silence(detail, writes=writes))
    return Err(failure)


def parse_nothing(content: Any) -> None:
    """Accept any content."""


def parse_optional(content: Any) -> Entry | None:
    """Return an entry or ``None``."""
    return None if content is None else _parse_entry(content)


def parse_listing(content: Any) -> Listing:
    """Return a listing."""
    entries = [_parse_entry(entry) for entry in content['entries']]
    return Listing(entries, content['revision'])


def parse_batch(content: Any) -> WatchBatch:
    """Return the events of a watch."""
    events = [_parse_event(event) for event in content['events']]
    return WatchBatch(events, content['revision'], content['truncated'])


def _parse_entry(content: Any) -> Entry:
    value = base64.b64decode(content['value'])
    return Entry(content['key'], value, content['revision'], content['lease'])


def _parse_event(content: Any) -> Event:
    encoded = content['value']
    value = None if encoded is None else base64.b64decode(encoded)
    return Event(content['key'], value, content['revision'])
