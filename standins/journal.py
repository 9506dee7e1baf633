"""Store core that records every change under one prefix."""

import time

from standins.storecore import StoreCore
from verbenapost.protocol.store import Event

#: Prefix of the keys whose changes are recorded.
JOURNAL_PREFIX = 'vm/'


class JournaledCore(StoreCore):
    """Store core that records each change for the history checks.

    The watch history is bounded and can be truncated; the journal is neither.
    Only the history checks read the journal, no client of the store does.

    Examples
    ========

    >>> core = JournaledCore(history=10)
    >>> core.swap('vm/a', 0, b'first', now=0)
    Ok(1)
    >>> [(event.key, event.revision) for _, event in core.journal]
    [('vm/a', 1)]
    """

    def __init__(self, history: int) -> None:
        super().__init__(history)
        self.journal: list[tuple[float, Event]] = []

    def _record(self, key: str, value: bytes | None, lease: str) -> None:
        super()._record(key, value, lease)
        if key.startswith(JOURNAL_PREFIX):
            event = Event(key, value, self.revision)
            self.journal.append((time.time(), event))
