"""Routes messages between daemons to the parts that take them."""

from collections.abc import Callable
from typing import Any

import structlog

Route = Callable[[str, Any], None]


class MessageRouter:
    """Calls the route that is registered for a message's type.

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
        self._routes: dict[type, Route] = {}
        self._log = structlog.get_logger()

    def register(self, *message_types: type) -> Callable[[Route], Route]:
        """Register a function for types of messages."""

        def decorate(route: Route) -> Route:
            self._routes.update(dict.fromkeys(message_types, route))
            return route

        return decorate

    def deliver(self, sender: str, message: Any) -> None:
        """Pass a message on; one that no part takes is logged."""
        route = self._routes.get(type(message))
        if route is None:
            self._log.warning(
                'peers: no part takes the message',
                sender=sender,
                message_type=type(message).__name__,
            )
            return
        try:
            route(sender, message)
        except Exception:
            # One bad message must not end the stream of all others.
            self._log.exception('peers: a message failed', sender=sender)
