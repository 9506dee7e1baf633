"""Records of VMs."""

import enum

import pydantic
from pydantic.dataclasses import dataclass

from verbenapost.state.documents import Name

#: Prefix of the store keys that hold VM records.
VM_PREFIX = 'vm/'


@enum.unique
class VmState(enum.StrEnum):
    """Lifecycle state of a VM within a pool and between pools."""

    IN_SERVICE = 'in_service'
    DRAINING = 'draining'
    IN_MAINTENANCE = 'in_maintenance'
    RETURNING = 'returning'
    FAILED = 'failed'


@dataclass(frozen=True, config=pydantic.ConfigDict(extra='ignore'))
class VmRecord:
    """Record of a VM; its ``pool`` is the only pool of the VM.

    :param name: name in the VM list.
    :param address: ``IP:port`` of the worker process.
    :param pool: pool that the VM belongs to.
    :param state: lifecycle state.
    :param data_centre: data centre of the VM.
    :param rack: rack, unique within the data centre.
    :param epoch: number that increases by one at each change of pool.
    :param next_pool: pool after the drain, for a move.
    :param reason: reason why the VM is not in service, for operators.
    :param changed_at: Unix time of the last change, in seconds.
    :param maintained_at: Unix time of the last maintenance, in seconds.
    :param held: whether an operator keeps the VM drained until its return is
        requested.
    :param boot: boot count at the pool interface to which the record applies.
    :param writer: ``instance:sequence`` of the last write.
    """

    name: str
    address: str
    pool: Name
    state: VmState = VmState.IN_SERVICE
    data_centre: str = ''
    rack: str = ''
    epoch: int = 0
    next_pool: Name | None = None
    reason: str = ''
    changed_at: float = 0
    maintained_at: float = 0
    held: bool = False
    boot: int = 0
    writer: str = ''


_ADAPTER = pydantic.TypeAdapter(VmRecord)


def pack_vm(record: VmRecord) -> bytes:
    """Return the record as JSON bytes for the store."""
    return _ADAPTER.dump_json(record)


def unpack_vm(value: bytes) -> VmRecord:
    """Return the record from JSON bytes.

    :raises pydantic.ValidationError: when the value is not a VM record.
    """
    return _ADAPTER.validate_json(value)
