"""The port through which every part uses the platform's store."""

import dataclasses
from collections.abc import Sequence
from typing import Protocol, final

from result import Result

from verbenapost.protocol.errors import Failure

NO_REVISION = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A key of the store with its value.

    :param key: full key, such as ``vm/cs-17``.
    :param value: bytes, at most 1 MB.
    :param revision: global revision of the last change of this key.
    :param lease: lease that the key is bound to, empty for none.
    """

    key: str
    value: bytes
    revision: int
    lease: str = ''


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All keys under a prefix at one revision."""

    entries: Sequence[Entry]
    revision: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change seen by a watch; ``value`` is ``None`` after a deletion."""

    key: str
    value: bytes | None
    revision: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WatchBatch:
    """The events after a revision.

    :param events: changes in order of revision.
    :param revision: revision up to which the batch is complete.
    :param truncated: history is missing; list the prefix again.
    """

    events: Sequence[Event]
    revision: int
    truncated: bool = False


class StorePort(Protocol):
    """Single-key compare-and-swap store with leases and watches.

    Explanation
    ===========

    A failure of kind ``STORE_UNAVAILABLE`` means that the change was not
    applied. ``STORE_UNKNOWN`` means that it may have been: read the key again
    and look for your own mark in the value. ``CONFLICT`` means that the
    expected revision is not the current one.
    """

    async def get(self, key: str) -> Result[Entry | None, Failure]:
        """Read one key; ``None`` when it does not exist."""

    async def list_prefix(self, prefix: str) -> Result[Listing, Failure]:
        """Read all keys that start with the prefix."""

    async def swap(
        self,
        key: str,
        expected: int,
        value: bytes,
        lease: str = '',
    ) -> Result[int, Failure]:
        """Write when the key's revision is ``expected``.

        :param expected: revision, or 0 to create the key.
        :returns: the new revision.
        """

    async def delete(self, key: str, expected: int) -> Result[int, Failure]:
        """Delete the key when its revision is ``expected``."""

    async def grant_lease(self, ttl: float) -> Result[str, Failure]:
        """Create a lease of ``ttl`` seconds and return its name."""

    async def renew_lease(self, lease: str) -> Result[None, Failure]:
        """Renew a lease; ``NOT_FOUND`` once it has expired."""

    async def revoke_lease(self, lease: str) -> Result[None, Failure]:
        """End a lease and delete its keys."""

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[WatchBatch, Failure]:
        """Wait up to ``wait`` seconds for changes after a revision."""
