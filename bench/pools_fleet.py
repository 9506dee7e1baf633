"""Randomly drawn fleets for the measurements of pools."""

import random

from verbenapost.coordination.pools.demands import (
    PLANNED_OUTAGE_RESERVE,
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

#: Pools of each site; the last one is the spare pool.
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

#: Number of data centres of a site.
DATA_CENTRES = 3

#: Number of VMs in a rack.
RACK_SIZE = 4

#: VMs that each service keeps after the loss of a failure domain.
MIN_AFTER_LOSS = 3


def make_racks(count: int, pool: str) -> list[Rack]:
    """Return racks whose VMs are all in one pool."""
    return [
        Rack(f'dc{number % DATA_CENTRES}', f'r{number}', {pool: RACK_SIZE})
        for number in range(count)
    ]


def draw_demands(
    site: str,
    rng: random.Random,
    survive: FailureDomain,
) -> list[Demand]:
    """Return demands of five to seven VMs for each pool of a site.

    :param site: name of the site.
    :param rng: source of the demands.
    :param survive: failure domain whose loss each pool must survive.
    """
    min_after_loss = MIN_AFTER_LOSS + PLANNED_OUTAGE_RESERVE
    return [
        Demand(pool, rng.choice((5, 6, 6, 7)), min_after_loss, survive)
        for pool in SITES[site]
    ]


def make_policy(
    demands: list[Demand],
    spare: str,
    max_planned: int = 2,
) -> FleetPolicy:
    """Return the configuration that leads to some demands.

    :param demands: demands of the pools.
    :param spare: name of the spare pool.
    :param max_planned: VMs of a service that planned work may take out at
        the same time.
    """
    pools = {
        demand.pool: PoolSpec(demand.vms, spare=demand.pool == spare)
        for demand in demands
    }
    services = {
        demand.pool: ServiceSpec(
            demand.pool,
            budget=AvailabilityBudget(
                MIN_AFTER_LOSS, max_planned, demand.survive
            ),
        )
        for demand in demands
    }
    return FleetPolicy(pools, services)
