"""A stream for logs that never blocks the process."""

import collections
import json
import os
from typing import Final

#: Bytes that may wait for a reader that stands still.
MAX_WAITING_BYTES: Final = 1_048_576

#: Lines written in one go.
_BATCH: Final = 64


class BoundedStream:
    """Writes lines to a file descriptor; drops them when nobody reads.

    Explanation
    ===========

    The descriptor is switched to non-blocking. What does not fit into it waits
    in memory up to a bound; further lines are dropped and counted, and the
    count is logged as soon as there is room again.

    :param descriptor: file descriptor, such as that of standard output.
    :param limit: bytes that may wait.
    """

    def __init__(
        self,
        descriptor: int,
        limit: int = MAX_WAITING_BYTES,
    ) -> None:
        self.dropped = 0
        self.total_dropped = 0
        self._descriptor = descriptor
        self._limit = limit
        self._waiting: collections.deque[bytes] = collections.deque()
        self._bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Take some text, or drop it when too much waits."""
        packed = text.encode(errors='replace')
        if self._bytes + len(packed) > self._limit:
            self.flush()
        if self._bytes + len(packed) > self._limit:
            self.dropped += 1
            self.total_dropped += 1
        else:
            self._waiting.append(packed)
            self._bytes += len(packed)
        return len(text)

    def flush(self) -> None:
        """Write what can be written at once."""
        while self._waiting:
            chunk = b''.join(self._take())
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody will ever read it; there is no place to say so.
                self._bytes -= len(chunk)
                return
            self._bytes -= written
            if written < len(chunk):
                self._waiting.appendleft(chunk[written:])
                return
        self._note_dropped()

    def isatty(self) -> bool:
        """Return whether a person reads it."""
        return os.isatty(self._descriptor)

    def _take(self) -> list[bytes]:
        count = min(len(self._waiting), _BATCH)
        return [self._waiting.popleft() for _ in range(count)]

    def _note_dropped(self) -> None:
        if not self.dropped:
            return
        line = {'event': 'log: lines dropped', 'dropped': self.dropped}
        self.dropped = 0
        self.write(f'{json.dumps(line)}\n')
        self.flush()
