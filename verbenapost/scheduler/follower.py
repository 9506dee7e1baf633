"""Following the changes of all keys under a prefix."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any, Final, final

from result import Err

from verbenapost.daemon.timers import read_clock
from verbenapost.platform.store import PlatformStore
from verbenapost.protocol.orders import CallFault, CallFaultKind, KeyChange

#: Seconds that a watch waits; short, so that an unresponsive connection is
#: detected soon.
WATCH_SECONDS: Final = 1.0

#: Seconds between two attempts while the store is unavailable.
RETRY_SECONDS: Final = 0.3

#: Removed keys whose revisions are remembered, so that stale changes of them
#: are ignored.
MAX_REMOVED_REVISIONS: Final = 20_000

#: Failed requests in a row after which the keys are listed. A watch returns
#: each change since the last one; after an outage they can be too many to
#: arrive in time, while a listing holds the last value of each key.
MAX_FAILURES: Final = 3

Notify = Callable[[KeyChange], None]


@final
@dataclasses.dataclass(slots=True)
class _Position:
    revision: int = 0
    listed: bool = False


class PrefixFollower:
    """Tracks the highest revision of each key under a prefix.

    Explanation
    ===========

    Answers of the store may arrive out of order, and a listing is not a
    snapshot. A change is applied only when its revision is higher than the
    known revision of its key. A key that is missing from a listing is removed
    only when its known revision is not newer than the listing.

    A change whose handling raises is logged with its key, and the next one is
    applied. A failure of the follower itself ends :meth:`run`.

    :param store: the store.
    :param prefix: prefix of the keys.
    :param notify: called with each applied change, with increasing revisions
        of each key.
    :param log: logger.
    :ivar fresh_at: local clock in seconds at the start of the last successful
        request.
    :ivar listed: set after the first listing.
    """

    def __init__(
        self,
        store: PlatformStore,
        prefix: str,
        notify: Notify,
        log: Any,
    ) -> None:
        self.fresh_at: float = 0
        self.listed = asyncio.Event()
        self._store = store
        self._prefix = prefix
        self._notify = notify
        self._log = log
        # Only the keys: a value may hold secrets, such as API keys.
        self._present: set[str] = set()
        self._revisions: dict[str, int] = {}
        self._position = _Position()
        self._lost = False
        self._failures = 0

    async def run(self) -> None:
        """Follow until the task is cancelled."""
        while True:
            read = self._watch if self._position.listed else self._list
            fault = await read()
            if fault is None:
                self._failures = 0
                continue
            self._note_lost(fault)
            self._failures += 1
            if self._failures >= MAX_FAILURES:
                self._position.listed = False
            await asyncio.sleep(RETRY_SECONDS)

    async def _list(self) -> CallFault | None:
        sent_at = read_clock()
        page = await self._store.read_range(self._prefix)
        if isinstance(page, Err):
            return page.err_value
        found = {item.key: item for item in page.ok_value.items}
        revision = page.ok_value.revision
        absent = [key for key in self._present if key not in found]
        for key in absent:
            if self._revisions[key] <= revision:
                self._apply(KeyChange(key, None, revision))
        for item in found.values():
            self._apply(KeyChange(item.key, item.value, item.revision))
        self._position.revision = revision
        self._position.listed = True
        self._note_fresh(sent_at)
        self.listed.set()
        return None

    async def _watch(self) -> CallFault | None:
        sent_at = read_clock()
        # After a failure the watch does not wait, since a waiting call would
        # show only later that the store is available again.
        wait = 0 if self._lost else WATCH_SECONDS
        batch = await self._store.watch(
            self._prefix, self._position.revision, wait
        )
        if isinstance(batch, Err):
            if batch.err_value.kind is CallFaultKind.NOT_FOUND:
                self._position.listed = False
                self._log.info(
                    'watch history is gone, listing again',
                    prefix=self._prefix,
                    after=self._position.revision,
                )
                return None
            return batch.err_value
        for change in batch.ok_value.changes:
            self._apply(change)
        revision = max(self._position.revision, batch.ok_value.revision)
        self._position.revision = revision
        self._note_fresh(sent_at)
        return None

    def _apply(self, change: KeyChange) -> None:
        if change.revision <= self._revisions.get(change.key, 0):
            return
        self._revisions[change.key] = change.revision
        if change.value is None:
            self._present.discard(change.key)
            self._forget_removed()
        else:
            self._present.add(change.key)
        try:
            self._notify(change)
        except Exception:
            # One change must not end the following of all other keys.
            self._log.exception(
                'change not applied', key=change.key, revision=change.revision
            )

    def _forget_removed(self) -> None:
        if len(self._revisions) < len(self._present) + MAX_REMOVED_REVISIONS:
            return
        self._revisions = {key: self._revisions[key] for key in self._present}

    def _note_fresh(self, sent_at: float) -> None:
        self.fresh_at = sent_at
        if self._lost:
            self._lost = False
            self._log.info('store regained', prefix=self._prefix)

    def _note_lost(self, fault: CallFault) -> None:
        if not self._lost:
            self._lost = True
            self._log.warning(
                'store lost',
                prefix=self._prefix,
                fault=fault.kind.value,
                detail=fault.detail,
            )
