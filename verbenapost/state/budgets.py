"""Records of the outages granted under availability budgets."""

import pydantic
from pydantic.dataclasses import dataclass

#: Prefix of the store keys that hold the granted outages of a service.
BUDGET_PREFIX = 'budget/'

_IGNORE_EXTRA = pydantic.ConfigDict(extra='ignore')


@dataclass(frozen=True, config=_IGNORE_EXTRA)
class OutageGrant:
    """Permission to take one VM out of service.

    :param vm: name of the VM.
    :param reason: reason for the outage, shown to operators.
    :param expiry: Unix time in seconds after which an unused grant may be
        removed.
    :param holder: instance that requested the grant.
    :param vm_revision: revision of the VM's record at which the grant may be
        used.
    :param next_pool: pool to which the VM moves; empty when it stays.
    :param urgent: whether the VM replaces a failed VM.
    """

    vm: str
    reason: str
    expiry: float
    holder: str
    vm_revision: int
    next_pool: str = ''
    urgent: bool = False


@dataclass(frozen=True, config=_IGNORE_EXTRA)
class BudgetRecord:
    """All granted outages of a service.

    :param grants: granted outages, at most one for each VM.
    :param stopped: whether no planned outages are granted.
    :param writer: ``instance:sequence`` of the last write.
    """

    grants: tuple[OutageGrant, ...] = ()
    stopped: bool = False
    writer: str = ''


_ADAPTER = pydantic.TypeAdapter(BudgetRecord)


def pack_budget(record: BudgetRecord) -> bytes:
    """Return the record as JSON bytes for the store."""
    return _ADAPTER.dump_json(record)


def unpack_budget(value: bytes) -> BudgetRecord:
    """Return the record from JSON bytes.

    :raises pydantic.ValidationError: when the value is not a budget record.
    """
    return _ADAPTER.validate_json(value)
