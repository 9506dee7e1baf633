"""Records of the outages that availability budgets have granted."""

import pydantic
from pydantic.dataclasses import dataclass

#: Prefix of the store keys that hold the granted outages of a service.
BUDGET_PREFIX = 'budget/'

_LENIENT = pydantic.ConfigDict(extra='ignore')


@dataclass(frozen=True, config=_LENIENT)
class Grant:
    """Permission to take one VM out of service.

    :param vm: name of the VM.
    :param reason: why it is taken out, for operators.
    :param expiry: Unix time after which an unused grant may be removed, in
        seconds.
    :param holder: instance that asked for it.
    :param vm_revision: revision of the VM's record at which it may be used.
    :param next_pool: pool that the VM moves to; empty when it stays.
    :param urgent: it replaces a failed VM.
    """

    vm: str
    reason: str
    expiry: float
    holder: str
    vm_revision: int
    next_pool: str = ''
    urgent: bool = False


@dataclass(frozen=True, config=_LENIENT)
class BudgetRecord:
    """All granted outages of a service.

    :param grants: outages, at most one a VM.
    :param stopped: no planned outage is granted.
    :param writer: ``instance:sequence`` of the last write.
    """

    grants: tuple[Grant, ...] = ()
    stopped: bool = False
    writer: str = ''


_ADAPTER = pydantic.TypeAdapter(BudgetRecord)


def pack_budget(record: BudgetRecord) -> bytes:
    """Return the record as JSON bytes for the store."""
    return _ADAPTER.dump_json(record)


def unpack_budget(value: bytes) -> BudgetRecord:
    """Return the record from JSON bytes.

    :raises pydantic.ValidationError: when the value is no budget record.
    """
    return _ADAPTER.validate_json(value)
