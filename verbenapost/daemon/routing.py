"""Dispatch of messages from other daemons to their handlers."""

from collections.abc import Callable
from typing import Any

import structlog

Handler = Callable[[str, Any], None]


class MessageRouter:
    """Calls the handler that is registered for a message's type.

    Examples
    ========

    >>> router = MessageRouter()
    >>> @router.register(str)
    ... def show(sender, message):
    ...     print(sender, message)
    >>> router.deliver('a', 'text')
    a text
    """

    def __init__(self) -> None:
        self._handlers: dict[type, Handler] = {}
        self._log = structlog.get_logger()

    def register(self, *message_types: type) -> Callable[[Handler], Handler]:
        """Register a handler for message types."""

        def decorate(handler: Handler) -> Handler:
            self._handlers.update(dict.fromkeys(message_types, handler))
            return handler

        return decorate

    def deliver(self, sender: str, message: Any) -> None:
        """Call the handler of a message; log messages without a handler."""
        handler = self._handlers.get(type(message))
        if handler is None:
            self._log.warning(
                'peers: message type has no handler',
                sender=sender,
                message_type=type(message).__name__,
            )
            return
        try:
            handler(sender, message)
        except Exception:
            # One faulty message must not end the stream of all others.
            self._log.exception('peers: message handler failed', sender=sender)
