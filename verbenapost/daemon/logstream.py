"""Log stream that never blocks the process."""

import collections
import json
import os
from typing import Final

#: Largest buffer for a reader that does not read, in bytes.
MAX_WAITING_BYTES: Final = 1_048_576

#: Largest number of lines in one write.
_BATCH_LINES: Final = 64


class BoundedStream:
    """Writes lines to a file descriptor and drops them when it is blocked.

    Explanation
    ===========

    The descriptor is switched to non-blocking mode. Lines that it does not
    accept are buffered up to a limit; further lines are dropped and counted,
    and the count is logged once the buffer has been written.

    :param descriptor: file descriptor, such as that of standard output.
    :param limit: largest buffer, in bytes.
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
        """Buffer a text, or drop the text when the buffer is full."""
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
        """Write as much of the buffer as possible without blocking."""
        while self._waiting:
            chunk = b''.join(self._pop_batch())
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The descriptor can no longer be written, and there is no
                # other place to report the loss.
                self._bytes -= len(chunk)
                return
            self._bytes -= written
            if written < len(chunk):
                self._waiting.appendleft(chunk[written:])
                return
        self._log_dropped()

    def isatty(self) -> bool:
        """Return whether the descriptor is a terminal."""
        return os.isatty(self._descriptor)

    def _pop_batch(self) -> list[bytes]:
        count = min(len(self._waiting), _BATCH_LINES)
        return [self._waiting.popleft() for _ in range(count)]

    def _log_dropped(self) -> None:
        if not self.dropped:
            return
        line = {'event': 'log: lines dropped', 'dropped': self.dropped}
        self.dropped = 0
        self.write(f'{json.dumps(line)}\n')
        self.flush()
