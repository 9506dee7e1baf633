"""Parsing of the store's JSON answers."""

import base64
from collections.abc import Callable
from http import HTTPStatus
from typing import Any, TypeVar

from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import Entry, Event, Listing, WatchBatch

_Parsed = TypeVar('_Parsed')


def make_unanswered_failure(detail: str, *, writes: bool) -> Failure:
    """Return the failure of a call that got no usable answer.

    :param detail: what went wrong.
    :param writes: whether the call changes the store; the store may then have
        applied the change.
    """
    if writes:
        return Failure(ErrorKind.STORE_UNKNOWN, detail)
    return Failure(ErrorKind.STORE_UNAVAILABLE, detail)


def parse_answer(
    status: int,
    content: Any,
    parse: Callable[[Any], _Parsed],
    *,
    writes: bool,
) -> Result[_Parsed, Failure]:
    """Return the parsed result of an answer, or its failure.

    :param status: HTTP status code.
    :param content: decoded JSON body.
    :param parse: parses the result of a successful call.
    :param writes: whether the call changes the store.
    """
    try:
        if status == HTTPStatus.OK:
            return Ok(parse(content['result']))
        failure = Failure(ErrorKind(content['kind']), content['detail'])
    except (KeyError, TypeError, ValueError) as fault:
        detail = f'status {status}: {fault!r}'
        return Err(make_unanswered_failure(detail, writes=writes))
    return Err(failure)


def discard_content(content: Any) -> None:
    """Ignore the result of a call that returns none."""


def parse_optional_entry(content: Any) -> Entry | None:
    """Return an entry, or ``None`` for a key that does not exist."""
    return None if content is None else _parse_entry(content)


def parse_listing(content: Any) -> Listing:
    """Return the entries under a prefix."""
    entries = [_parse_entry(entry) for entry in content['entries']]
    return Listing(entries, content['revision'])


def parse_watch_batch(content: Any) -> WatchBatch:
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
