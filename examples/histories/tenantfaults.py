"""Changes of keys and caps, and floods, in a soak of the platform's daemon."""

import asyncio

from examples.histories.fleetnemesis import register_fault
from examples.histories.fleetsite import FleetSoak
from examples.histories.fleettenants import SoakTenants

#: Faults that only runs with tenants have.
TENANT_FAULTS = frozenset(
    ('rotate_keys', 'lower_cap', 'remove_tenant', 'flood')
)

#: How many times as often as another fault they are drawn, so that a short run
#: has some of them.
TENANT_WEIGHT = 3

#: Seconds of a flood, so that it meets a burst of the usual load.
FLOOD_SECONDS = (6, 12)

#: Seconds for which a cap stays lowered and a tenant removed.
CHANGE_SECONDS = (1, 8)


def weigh_kinds(kinds: tuple[str, ...], *, tenants: bool) -> tuple[str, ...]:
    """Return the faults of a run, each as often as it is to be drawn.

    :param kinds: names of faults.
    :param tenants: whether the run has tenants.
    """
    general = tuple(kind for kind in kinds if kind not in TENANT_FAULTS)
    if not tenants:
        return general
    own = tuple(kind for kind in kinds if kind in TENANT_FAULTS)
    return general + own * TENANT_WEIGHT


def _get_tenants(soak: FleetSoak) -> SoakTenants:
    if soak.tenants is None:
        raise LookupError('the run has no tenants')
    return soak.tenants


async def _change_for_a_while(soak: FleetSoak, changed: set[str]) -> None:
    """Add a tenant to a set, and remove it from the set some seconds later."""
    tenants = _get_tenants(soak)
    name = tenants.choose_tenant()
    if name in changed:
        return
    changed.add(name)
    tenants.configure()
    await asyncio.sleep(soak.rng.uniform(*CHANGE_SECONDS))
    changed.discard(name)
    tenants.configure()


@register_fault
async def rotate_keys(soak: FleetSoak) -> None:
    """Replace one key of a tenant, whose callers use the new one at once."""
    tenants = _get_tenants(soak)
    tenants.rotate_key(tenants.choose_tenant())


@register_fault
async def lower_cap(soak: FleetSoak) -> None:
    """Halve the cap of a tenant, and raise it again."""
    await _change_for_a_while(soak, _get_tenants(soak).lowered)


@register_fault
async def remove_tenant(soak: FleetSoak) -> None:
    """Remove a tenant with its keys, and add it again."""
    await _change_for_a_while(soak, _get_tenants(soak).absent)


@register_fault
async def flood(soak: FleetSoak) -> None:
    """Let one tenant send many times its usual load."""
    tenants = _get_tenants(soak)
    tenants.flooding = True
    await asyncio.sleep(soak.rng.uniform(*FLOOD_SECONDS))
    tenants.flooding = False
