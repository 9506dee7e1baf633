"""Target lists of services, from the configuration and the VM records."""

from collections.abc import Collection

from verbenapost.coordination.directory import VmDirectory
from verbenapost.coordination.targets import Target
from verbenapost.state.configuration import ConfigurationView
from verbenapost.state.documents import ServiceSpec
from verbenapost.state.vms import VmRecord


def list_targets(
    spec: ServiceSpec,
    vms: VmDirectory,
    leaving: Collection[str],
) -> list[Target]:
    """Return the targets of one service.

    :param leaving: names of leaving VMs, which get no new work.
    """
    return [
        _make_target(record, spec.slots)
        for record in vms.list_serving(spec.pool)
        if record.name not in leaving
    ]


def list_all_targets(
    view: ConfigurationView,
    vms: VmDirectory,
    leaving: Collection[str],
) -> dict[str, list[Target]]:
    """Return the targets of every service."""
    return {
        name: list_targets(owned.spec, vms, leaving)
        for name, owned in view.services.items()
    }


def find_lender(view: ConfigurationView, service: str) -> str | None:
    """Return the service that lends slots to a service.

    The lender is the first service by name in the overflow pool.
    """
    owned = view.services.get(service)
    if owned is None or owned.spec.overflow is None:
        return None
    lenders = (
        name
        for name, other in view.services.items()
        if other.spec.pool == owned.spec.overflow and name != service
    )
    return min(lenders, default=None)


def _make_target(record: VmRecord, slots: int) -> Target:
    # A VM that returns to work has a higher epoch (after a change of pool) or
    # a higher boot count (after a restart), and so a new generation.
    generation = record.epoch + record.boot
    return Target(record.name, record.address, slots, generation)
