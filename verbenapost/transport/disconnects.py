"""What an application can ask about the client of a request."""

from collections.abc import Callable, MutableMapping
from typing import Any, Final

#: Key of the request's scope that holds the watch.
_WATCH: Final = 'verbenapost.is_abandoned'

#: Returns whether the client of a request has left.
Watch = Callable[[], bool]


def never_abandoned() -> bool:
    """Return that the client has not left, as far as is known."""
    return False


def set_watch(scope: Any, watch: Watch) -> None:
    """Let the application of a request ask whether its client has left.

    :param scope: ASGI scope of the request.
    :param watch: returns whether it has.
    """
    scope.setdefault('extensions', {})[_WATCH] = watch


def find_watch(scope: MutableMapping[str, Any]) -> Watch:
    """Return the watch of a request.

    >>> find_watch({'type': 'http'})()
    False

    :param scope: ASGI scope of the request.
    """
    extensions = scope.get('extensions') or {}
    watch: Watch = extensions.get(_WATCH, never_abandoned)
    return watch
