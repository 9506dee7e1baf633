"""Buffer VMs, compared with the relaxed bound and with dedicated spares."""

import math
import random
from typing import Any

from bench import pools_fleet
from verbenapost.coordination.pools.assignment import AssignmentModel
from verbenapost.state.documents import FailureDomain

#: Numbers of racks, one of which is drawn for each site.
RACK_COUNTS = (10, 11, 12, 13, 14)


def measure(seeds: range) -> list[dict[str, Any]]:
    """Return one row for each site, failure domain and seed."""
    return [
        _measure_site(site, survive, seed)
        for site in pools_fleet.SITES
        for survive in (FailureDomain.RACK, FailureDomain.DATA_CENTRE)
        for seed in seeds
    ]


def _measure_site(
    site: str,
    survive: FailureDomain,
    seed: int,
) -> dict[str, Any]:
    rng = random.Random(f'{site} {seed}')
    spare = pools_fleet.SITES[site][-1]
    demands = pools_fleet.draw_demands(site, rng, survive)
    count = rng.choice(RACK_COUNTS)
    if survive is FailureDomain.DATA_CENTRE:
        count += 6
    racks = pools_fleet.make_racks(count, spare)
    shared = AssignmentModel(racks, demands, spare).solve().unwrap()
    dedicated_model = AssignmentModel(racks, demands, spare, shared=False)
    dedicated = dedicated_model.solve().unwrap()
    need = sum(demand.vms for demand in demands)
    rounded = math.ceil(shared.lower_bound - 1e-6)
    return {
        'site': site,
        'survive': str(survive),
        'seed': seed,
        'racks': count,
        'need': need,
        'buffer': shared.buffer,
        'bound': round(shared.lower_bound, 3),
        'buffer_to_bound': round(shared.buffer / shared.lower_bound, 3),
        'buffer_to_rounded_bound': round(shared.buffer / rounded, 3),
        'vms_to_bound': round(
            (need + shared.buffer) / (need + shared.lower_bound), 3
        ),
        'dedicated': dedicated.buffer,
        'dedicated_unspread': sum(
            min(pools_fleet.RACK_SIZE, demand.vms) for demand in demands
        ),
        'buffer_to_dedicated': round(shared.buffer / dedicated.buffer, 3),
    }
