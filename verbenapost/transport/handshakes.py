"""Limit on the connections of peers that have not proved who they are."""

from typing import Final, final

from verbenapost.transport.peers import AcceptedStream
from verbenapost.transport.refusals import Reason, Refusals

#: Name of the listener in logs and metrics.
LISTENER: Final = 'peers'


@final
class Handshakes:
    """Accepted streams before the end of their handshake.

    Explanation
    ===========

    A stream counts from its acceptance to its handshake or its end. With too
    many of them the oldest is closed, not the newest: a daemon that connects
    needs one exchange, while clients without the key could keep all places.

    :param limit: number of such streams.
    :param refusals: counts the refused connections.
    """

    def __init__(self, limit: int, refusals: Refusals) -> None:
        self._limit = limit
        self._refusals = refusals
        # A dictionary keeps the order of acceptance.
        self._pending: dict[AcceptedStream, None] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, stream: AcceptedStream) -> None:
        """Count an accepted stream, and close the oldest above the limit."""
        if len(self._pending) >= self._limit:
            self._abort(next(iter(self._pending)))
        self._pending[stream] = None
        stream.ready.add_done_callback(lambda _ready: self._end(stream))

    def _end(self, stream: AcceptedStream) -> None:
        self._pending.pop(stream, None)
        if not stream.peer:
            self._refusals.note(LISTENER, Reason.HANDSHAKE, stream.client)

    def _abort(self, stream: AcceptedStream) -> None:
        self._pending.pop(stream, None)
        stream.abort()
