"""Reasons to refuse a connection, their counts and log lines."""

import collections
import enum
from collections.abc import Callable
from typing import Any, Final, final

#: Seconds between two log lines about the same listener and reason.
LOG_SECONDS: Final = 1.0


@final
@enum.unique
class Reason(enum.Enum):
    """Limit that a client has exceeded.

    :ivar label: value of the label in metrics and logs.
    :ivar status: HTTP status of the response, 0 without one.
    """

    def __init__(self, label: str, status: int) -> None:
        self.label = label
        self.status = status

    HEAD = ('head', 431)
    HEADER_LINE = ('header_line', 431)
    HEADER_LINES = ('header_lines', 431)
    TRAILERS = ('trailers', 431)
    BODY = ('body', 413)
    HEAD_TIME = ('head_time', 408)
    BODY_TIME = ('body_time', 408)
    EMPTY_LINES = ('empty_lines', 400)
    MALFORMED = ('malformed', 400)
    MEMORY = ('memory', 503)
    CONNECTIONS = ('connections', 503)
    UNREAD = ('unread', 0)
    IDLE = ('idle', 0)
    HANDSHAKE = ('handshake', 0)


class Refusals:
    """Counts refused connections and logs them at a limited rate.

    :param log: logger.
    :param read_clock: returns monotonic seconds.
    :ivar counts: refused connections by listener and reason.
    """

    def __init__(self, log: Any, read_clock: Callable[[], float]) -> None:
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._log = log
        self._read_clock = read_clock
        self._logged_at: dict[tuple[str, str], float] = {}

    def note(self, listener: str, reason: Reason, client: str) -> None:
        """Count a refused connection.

        :param listener: name of the listener.
        :param reason: limit that was exceeded.
        :param client: IP number of the client, empty when unknown.
        """
        key = listener, reason.label
        self.counts[key] += 1
        now = self._read_clock()
        logged_at = self._logged_at.get(key)
        if logged_at is not None and now - logged_at < LOG_SECONDS:
            return
        self._logged_at[key] = now
        self._log.warning(
            'connection refused',
            listener=listener,
            reason=reason.label,
            client=client,
            total=self.counts[key],
        )
