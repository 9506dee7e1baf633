"""State of the store's stand-in, without network or clock."""

import bisect
import contextlib
import dataclasses
import itertools
from collections import deque
from collections.abc import Callable, Iterator

from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.store import (
    NO_REVISION,
    Entry,
    Event,
    Listing,
    WatchBatch,
)

#: Largest value in bytes.
MAX_VALUE_BYTES = 1024 * 1024

#: Default number of events that the watch history holds.
DEFAULT_HISTORY_EVENTS = 10_000


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease and the keys that are bound to it.

    :param ttl: duration of the lease in seconds.
    :param expires_at: time at which the lease expires, in seconds.
    """

    ttl: float
    expires_at: float
    keys: set[str] = dataclasses.field(default_factory=set)


class StoreCore:
    """Keys, one global revision, leases and a bounded watch history.

    The parameter ``now`` of the methods is the time in seconds; all calls
    must use the same clock.

    Examples
    ========

    >>> core = StoreCore()
    >>> core.swap('vm/a', 0, b'first', now=0)
    Ok(1)
    >>> core.swap('vm/a', 0, b'second', now=0).err().kind.value
    'conflict'

    :param history: number of events that the watch history holds.
    """

    def __init__(self, history: int = DEFAULT_HISTORY_EVENTS) -> None:
        self.revision = NO_REVISION
        self._listeners: list[Callable[[], None]] = []
        self._entries: dict[str, Entry] = {}
        self._keys: list[str] = []
        self._previous: dict[str, Entry | None] = {}
        self._leases: dict[str, Lease] = {}
        self._events: deque[Event] = deque(maxlen=history)
        self._truncated_revision = NO_REVISION
        self._lease_count = 0

    def get(self, key: str, now: float) -> Entry | None:
        """Return the entry of a key."""
        self.expire(now)
        return self._entries.get(key)

    def get_stale(self, key: str) -> Entry | None:
        """Return the entry of a key before its last change."""
        return self._previous.get(key, self._entries.get(key))

    def list_prefix(self, prefix: str, now: float) -> Listing:
        """Return the entries under a prefix in order of key."""
        self.expire(now)
        start = bisect.bisect_left(self._keys, prefix)
        keys = itertools.takewhile(
            lambda key: key.startswith(prefix),
            itertools.islice(self._keys, start, None),
        )
        return Listing([self._entries[key] for key in keys], self.revision)

    def list_stale(self, prefix: str) -> Listing:
        """Return the entries as they were before their last changes."""
        keys = {*self._entries, *self._previous}
        found = [
            entry
            for key in sorted(keys)
            if key.startswith(prefix) and (entry := self.get_stale(key))
        ]
        newest = max((entry.revision for entry in found), default=NO_REVISION)
        return Listing(found, newest)

    def swap(
        self,
        key: str,
        expected: int,
        value: bytes,
        lease: str = '',
        *,
        now: float,
    ) -> Result[int, Failure]:
        """Write the key when its revision is the expected one."""
        self.expire(now)
        if len(value) > MAX_VALUE_BYTES:
            return Err(Failure(ErrorKind.TOO_LARGE, f'value of {key}'))
        if self._find_revision(key) != expected:
            return Err(Failure(ErrorKind.CONFLICT, f'{key} has changed'))
        if lease and lease not in self._leases:
            return Err(Failure(ErrorKind.NOT_FOUND, f'lease {lease}'))
        self._detach_lease(key)
        if lease:
            self._leases[lease].keys.add(key)
        self._record(key, value, lease)
        return Ok(self.revision)

    def delete(
        self, key: str, expected: int, now: float
    ) -> Result[int, Failure]:
        """Delete the key when its revision is the expected one."""
        self.expire(now)
        if key not in self._entries:
            return Err(Failure(ErrorKind.NOT_FOUND, key))
        if self._find_revision(key) != expected:
            return Err(Failure(ErrorKind.CONFLICT, f'{key} has changed'))
        self._remove(key)
        return Ok(self.revision)

    def grant_lease(self, ttl: float, now: float) -> str:
        """Create a lease and return its name."""
        self.expire(now)
        self._lease_count += 1
        name = f'lease-{self._lease_count}'
        self._leases[name] = Lease(ttl, now + ttl)
        return name

    def renew_lease(self, name: str, now: float) -> Result[None, Failure]:
        """Extend a lease to its full duration from now."""
        self.expire(now)
        lease = self._leases.get(name)
        if lease is None:
            return Err(Failure(ErrorKind.NOT_FOUND, f'lease {name}'))
        lease.expires_at = now + lease.ttl
        return Ok(None)

    def revoke_lease(self, name: str) -> Result[None, Failure]:
        """Revoke a lease and delete its keys."""
        lease = self._leases.pop(name, None)
        if lease is None:
            return Err(Failure(ErrorKind.NOT_FOUND, f'lease {name}'))
        for key in sorted(lease.keys):
            self._remove(key)
        return Ok(None)

    def expire(self, now: float) -> None:
        """Revoke the leases that have expired."""
        if not self._leases:
            return
        expired = [
            name
            for name, lease in self._leases.items()
            if lease.expires_at <= now
        ]
        for name in expired:
            self.revoke_lease(name)

    def expire_all_leases(self) -> int:
        """Revoke every lease and return the number of leases."""
        names = list(self._leases)
        for name in names:
            self.revoke_lease(name)
        return len(names)

    def find_next_expiry(self) -> float | None:
        """Return when the next lease expires, ``None`` without leases."""
        expiries = [lease.expires_at for lease in self._leases.values()]
        return min(expiries, default=None)

    def truncate_history(self) -> None:
        """Discard all watch events so far.

        A watch that starts at an earlier revision gets a truncated batch.
        """
        self._events.clear()
        self._truncated_revision = self.revision
        self._notify()

    def read_events(self, prefix: str, after: int, now: float) -> WatchBatch:
        """Return the changes under a prefix after a revision."""
        self.expire(now)
        if after < self._truncated_revision:
            return WatchBatch([], self.revision, truncated=True)
        newer = itertools.takewhile(
            lambda event: event.revision > after, reversed(self._events)
        )
        found = [event for event in newer if event.key.startswith(prefix)]
        found.reverse()
        return WatchBatch(found, self.revision)

    @contextlib.contextmanager
    def subscribe(self, listener: Callable[[], None]) -> Iterator[None]:
        """Call the listener at each change while the context is open."""
        with contextlib.ExitStack() as stack:
            self._listeners.append(listener)
            stack.callback(self._listeners.remove, listener)
            yield

    def _find_revision(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.revision if entry else NO_REVISION

    def _detach_lease(self, key: str) -> None:
        entry = self._entries.get(key)
        lease = self._leases.get(entry.lease) if entry else None
        if lease is not None:
            lease.keys.discard(key)

    def _remove(self, key: str) -> None:
        self._detach_lease(key)
        self._record(key, None, '')

    def _record(self, key: str, value: bytes | None, lease: str) -> None:
        self.revision += 1
        self._previous[key] = self._entries.get(key)
        if value is None:
            self._entries.pop(key)
            self._keys.pop(bisect.bisect_left(self._keys, key))
        else:
            if key not in self._entries:
                bisect.insort(self._keys, key)
            self._entries[key] = Entry(key, value, self.revision, lease)
        if len(self._events) == self._events.maxlen:
            self._truncated_revision = self._events[0].revision
        self._events.append(Event(key, value, self.revision))
        self._notify()

    def _notify(self) -> None:
        for listener in tuple(self._listeners):
            listener()
