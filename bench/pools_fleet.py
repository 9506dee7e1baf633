"""Seeded fleets for the measurements of pools."""

import random

from verbenapost.coordination.pools.demands import (
    PLANNED_ROOM,
    Demand,
    Rack,
)
from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.state.documents import (
    AvailabilityBudget,
    FailureDomain,
    PoolSpec,
    ServiceSpec,
)

#: The pools of both sites; the last one is the spare pool.
SITES = {
    'caledon': (
        'routing',
        'certification',
        'booking',
        'weighing',
        'administration',
    ),
    'haiphong': ('counter', 'pricing', 'supply', 'dispatch', 'clerical'),
}

#: Data centres of a site.
CENTRES = 3

#: VMs in a rack.
RACK_SIZE = 4

#: VMs that each service keeps after the loss of a failure domain.
AT_ONCE = 3


def make_racks(count: int, pool: str) -> list[Rack]:
    """Return racks whose VMs are all in one pool."""
    return [
        Rack(f'dc{number % CENTRES}', f'r{number}', {pool: RACK_SIZE})
        for number in range(count)
    ]


def draw_demands(
    site: str,
    draw: random.Random,
    survive: FailureDomain,
) -> list[Demand]:
    """Return needs of about six VMs a pool."""
    at_once = AT_ONCE + PLANNED_ROOM
    return [
        Demand(pool, draw.choice((5, 6, 6, 7)), at_once, survive)
        for pool in SITES[site]
    ]


def make_policy(
    demands: list[Demand],
    spare: str,
    max_planned: int = 2,
) -> FleetPolicy:
    """Return the configuration that the demands came from."""
    pools = {
        demand.pool: PoolSpec(demand.vms, spare=demand.pool == spare)
        for demand in demands
    }
    services = {
        demand.pool: ServiceSpec(
            demand.pool,
            budget=AvailabilityBudget(AT_ONCE, max_planned, demand.survive),
        )
        for demand in demands
    }
    return FleetPolicy(pools, services)
