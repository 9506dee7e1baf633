"""Records of the daemons and of the member set of a region."""

from collections.abc import Mapping

import pydantic
from pydantic.dataclasses import dataclass

#: Prefix of the store keys that hold member sets, by region.
MEMBERS_PREFIX = 'members/'

#: Prefix of the leased store keys that show that a member is alive.
ALIVE_PREFIX = 'alive/'

_IGNORE_EXTRA = pydantic.ConfigDict(extra='ignore')


@dataclass(frozen=True, config=_IGNORE_EXTRA)
class MemberRecord:
    """Record of a daemon.

    :param name: name of the daemon, kept across restarts.
    :param identity: random text, generated at each start of the process.
    :param address: ``IP:port`` of the peer stream.
    :param data_centre: data centre of the VM.
    :param region: region of the data centre.
    :param roles: roles that the process may hold; empty for all.
    :param since: revision of the ``alive/`` key with which the daemon joined.
    """

    name: str
    identity: str
    address: str
    data_centre: str = ''
    region: str = ''
    roles: tuple[str, ...] = ()
    since: int = 0


Members = Mapping[str, MemberRecord]


@dataclass(frozen=True, config=_IGNORE_EXTRA)
class Intent:
    """Change of the member set that waits for confirmations.

    :param target: members after the change, by name.
    :param writer: name of the member that wrote the intent.
    """

    target: dict[str, MemberRecord]
    writer: str


@dataclass(frozen=True, config=_IGNORE_EXTRA)
class MemberSet:
    """Value of ``members/<region>``.

    :param members: members by name.
    :param intent: pending change, or ``None``.
    """

    members: dict[str, MemberRecord]
    intent: Intent | None = None

    @property
    def order(self) -> tuple[str, ...]:
        """Return the names in the order of the member tables in messages."""
        return tuple(sorted(self.members))


_SET_ADAPTER = pydantic.TypeAdapter(MemberSet)
_RECORD_ADAPTER = pydantic.TypeAdapter(MemberRecord)


def pack_set(member_set: MemberSet) -> bytes:
    """Return the set as JSON bytes for the store."""
    return _SET_ADAPTER.dump_json(member_set)


def unpack_set(value: bytes) -> MemberSet:
    """Return the set from JSON bytes.

    :raises pydantic.ValidationError: when the value is not a member set.
    """
    return _SET_ADAPTER.validate_json(value)


def pack_member(record: MemberRecord) -> bytes:
    """Return the record as JSON bytes for the store."""
    return _RECORD_ADAPTER.dump_json(record)


def unpack_member(value: bytes) -> MemberRecord:
    """Return the record from JSON bytes.

    :raises pydantic.ValidationError: when the value is not a member record.
    """
    return _RECORD_ADAPTER.validate_json(value)
