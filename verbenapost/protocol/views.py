"""Messages that tell what a member has applied."""

import dataclasses

from verbenapost.protocol.codec import register_message


@register_message(4)
@dataclasses.dataclass(frozen=True, slots=True)
class AppliedViews:
    """Revisions up to which a member has applied what the store holds.

    :param configuration: store revision of the configuration in force.
    :param vms: store revision of the VM records in use.
    """

    configuration: int
    vms: int


@register_message(5)
@dataclasses.dataclass(frozen=True, slots=True)
class LeavingVms:
    """VMs that the platform is about to take away.

    :param names: names of all such VMs, in order.
    """

    names: tuple[str, ...]
