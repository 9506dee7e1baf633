"""Records of the daemons and the member set of a region."""

from collections.abc import Mapping

import pydantic
from pydantic.dataclasses import dataclass

#: Prefix of the store keys that hold member sets, by region.
MEMBERS_PREFIX = 'members/'

#: Prefix of the leased store keys that show life, by member.
ALIVE_PREFIX = 'alive/'

_LOOSE = pydantic.ConfigDict(extra='ignore')


@dataclass(frozen=True, config=_LOOSE)
class MemberRecord:
    """A daemon.

    :param name: name of the place, the same after a restart.
    :param identity: random, new at each process start.
    :param address: ``IP:port`` of the peer stream.
    :param data_centre: data centre of the VM.
    :param region: region of the data centre.
    :param roles: roles that the process takes on; empty for all.
    :param since: revision of the life key from which it joined.
    """

    name: str
    identity: str
    address: str
    data_centre: str = ''
    region: str = ''
    roles: tuple[str, ...] = ()
    since: int = 0


Members = Mapping[str, MemberRecord]


@dataclass(frozen=True, config=_LOOSE)
class Intent:
    """A change of the member set that waits for confirmations.

    :param target: members after the change, by name.
    :param writer: member that wrote the intent.
    """

    target: dict[str, MemberRecord]
    writer: str


@dataclass(frozen=True, config=_LOOSE)
class MemberSet:
    """The value of ``members/<region>``.

    :param members: members by name.
    :param intent: change under way, or ``None``.
    """

    members: dict[str, MemberRecord]
    intent: Intent | None = None

    @property
    def order(self) -> tuple[str, ...]:
        """Return the names in the order of the tables on the wire."""
        return tuple(sorted(self.members))


_SET = pydantic.TypeAdapter(MemberSet)
_RECORD = pydantic.TypeAdapter(MemberRecord)


def pack_set(member_set: MemberSet) -> bytes:
    """Return the set as JSON bytes for the store."""
    return _SET.dump_json(member_set)


def unpack_set(value: bytes) -> MemberSet:
    """Return the set from JSON bytes.

    :raises pydantic.ValidationError: when the value is no member set.
    """
    return _SET.validate_json(value)


def pack_member(record: MemberRecord) -> bytes:
    """Return the record as JSON bytes for the store."""
    return _RECORD.dump_json(record)


def unpack_member(value: bytes) -> MemberRecord:
    """Return the record from JSON bytes.

    :raises pydantic.ValidationError: when the value is no member record.
    """
    return _RECORD.validate_json(value)
