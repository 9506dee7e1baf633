"""Structured logs whose messages start with the name of a part."""

import logging
import re
import sys
from collections.abc import MutableMapping
from contextlib import AbstractContextManager
from typing import Any, TextIO, cast

import structlog

from verbenapost.daemon.faults import MASK, is_secret_name
from verbenapost.daemon.logstream import BoundedStream
from verbenapost.daemon.settings import LogSettings

_BEARER = re.compile(r'(?i)\bbearer\s+[^\s"\',]+')

Event = MutableMapping[str, Any]


def configure_logs(
    settings: LogSettings,
    stream: TextIO | BoundedStream = sys.stderr,
    *,
    final: bool = False,
) -> None:
    """Set the format and level of the log of this process.

    :param settings: format and level.
    :param stream: destination of the log lines.
    :param final: whether the configuration will not change, so that loggers
        may keep it.
    """
    renderer: Any = structlog.processors.JSONRenderer(default=str)
    if settings.format == 'console':
        renderer = structlog.dev.ConsoleRenderer(colors=stream.isatty())
    level = logging.getLevelNamesMapping()[settings.level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            add_prefix,
            structlog.processors.format_exc_info,
            mask_secrets,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(file=cast(TextIO, stream)),
        cache_logger_on_first_use=final,
    )


def make_logger(part: str) -> Any:
    """Return a logger that prefixes messages with the name of a part.

    :param part: short name, such as ``queue``.
    """
    return structlog.get_logger(part=part)


def bind_request(request_id: str) -> AbstractContextManager[None]:
    """Add a request id to all messages inside a ``with`` block."""
    return structlog.contextvars.bound_contextvars(request_id=request_id)


def add_prefix(_logger: Any, _method: str, event: Event) -> Event:
    """Prefix the message with the name of the part.

    >>> add_prefix(None, 'info', {'part': 'queue', 'event': 'owner changed'})
    {'event': 'queue: owner changed'}
    """
    part = event.pop('part', 'daemon')
    message = event['event']
    event['event'] = f'{part}: {message}'
    return event


def mask_secrets(_logger: Any, _method: str, event: Event) -> Event:
    """Mask the values that are or may contain a secret.

    >>> mask_secrets(None, 'info', {'peer_key': 'k', 'event': 'Bearer abc'})
    {'peer_key': '***', 'event': 'Bearer ***'}
    """
    for name, found in event.items():
        event[name] = MASK if is_secret_name(name) else _mask(found)
    return event


def _mask(found: Any) -> Any:
    if isinstance(found, str):
        return _BEARER.sub(f'Bearer {MASK}', found)
    if isinstance(found, dict):
        return {
            name: MASK if is_secret_name(str(name)) else _mask(inner)
            for name, inner in found.items()
        }
    if isinstance(found, (list, tuple)):
        return [_mask(inner) for inner in found]
    return found
