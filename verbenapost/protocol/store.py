"""Port to the platform's key-value store."""

import dataclasses
from collections.abc import Sequence
from typing import Protocol, final

from result import Result

from verbenapost.protocol.errors import Failure

#: Revision of a key that does not exist.
NO_REVISION = 0


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Key of the store with its value.

    :param key: full key, such as ``vm/cs-17``.
    :param value: value of the key, at most 1 MB.
    :param revision: global revision of the last change of this key.
    :param lease: lease to which the key is bound, empty for none.
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
    """Change reported by a watch; ``value`` is ``None`` after a deletion."""

    key: str
    value: bytes | None
    revision: int


@final
@dataclasses.dataclass(frozen=True, slots=True)
class WatchBatch:
    """Events after a revision.

    :param events: changes in order of revision.
    :param revision: revision up to which the batch is complete.
    :param truncated: whether events are missing, so that the prefix must be
        listed again.
    """

    events: Sequence[Event]
    revision: int
    truncated: bool = False


class StorePort(Protocol):
    """Single-key compare-and-swap store with leases and watches.

    Explanation
    ===========

    A failure of kind ``STORE_UNAVAILABLE`` means that the change was not
    applied. ``STORE_UNKNOWN`` means that it may have been applied: the writer
    reads the key again and searches the value for the unique mark that it
    wrote. ``CONFLICT`` means that the expected revision is not the current
    one.
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
        """Write the value if the key's revision is ``expected``.

        :param expected: required revision, or 0 to create the key.
        :returns: the new revision.
        """

    async def delete(self, key: str, expected: int) -> Result[int, Failure]:
        """Delete the key if its revision is ``expected``."""

    async def grant_lease(self, ttl: float) -> Result[str, Failure]:
        """Create a lease of ``ttl`` seconds and return its name."""

    async def renew_lease(self, lease: str) -> Result[None, Failure]:
        """Renew a lease; ``NOT_FOUND`` once the lease has expired."""

    async def revoke_lease(self, lease: str) -> Result[None, Failure]:
        """End a lease and delete the keys that are bound to it."""

    async def watch(
        self,
        prefix: str,
        after: int,
        wait: float,
    ) -> Result[WatchBatch, Failure]:
        """Wait up to ``wait`` seconds for changes after a revision."""
