"""Messages about applied revisions and leaving VMs."""

import dataclasses

from verbenapost.protocol.codec import register_message


@register_message(4)
@dataclasses.dataclass(frozen=True, slots=True)
class AppliedRevisions:
    """Store revisions up to which a member has applied the changes.

    :param configuration: store revision of the configuration in force.
    :param vms: store revision of the VM records in use.
    """

    configuration: int
    vms: int


@register_message(5)
@dataclasses.dataclass(frozen=True, slots=True)
class LeavingVms:
    """VMs that the platform is about to remove.

    :param names: sorted names of all such VMs.
    """

    names: tuple[str, ...]
