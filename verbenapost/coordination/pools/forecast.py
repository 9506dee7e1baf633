"""Forecast whether all VMs are maintained by their deadlines."""

import dataclasses
import math
from collections.abc import Sequence
from typing import final

from verbenapost.coordination.pools.policy import FleetPolicy
from verbenapost.coordination.pools.records import Fleet
from verbenapost.coordination.pools.waves import WavePlan, build_queue
from verbenapost.state.vms import VmRecord, VmState

_DAY_SECONDS = 86_400


@final
@dataclasses.dataclass(frozen=True, slots=True)
class PoolForecast:
    """Forecast of the maintenance of one pool.

    :param pool: name of the pool.
    :param max_concurrent: VMs that may be out of service at the same time if
        no VM has failed.
    :param late: VMs that are maintained after their deadline.
    :param remaining_seconds: seconds until all VMs are maintained; infinite if
        no VM may leave service.
    :param limiting_reason: reason that limits the speed of the wave.
    """

    pool: str
    max_concurrent: int
    late: tuple[str, ...]
    remaining_seconds: float
    limiting_reason: str

    @property
    def meets_deadlines(self) -> bool:
        """Return whether all deadlines are met."""
        return not self.late


def forecast_pools(
    policy: FleetPolicy,
    fleet: Fleet,
    now: float,
    outage_seconds: float,
) -> list[PoolForecast]:
    """Forecast the maintenance of each pool.

    :param now: Unix time in seconds.
    :param outage_seconds: duration of the outage of one VM.
    """
    pools = sorted({vm.pool for vm in fleet})
    return [
        _forecast(policy, fleet, pool, now, outage_seconds) for pool in pools
    ]


def _forecast(
    policy: FleetPolicy,
    fleet: Fleet,
    pool: str,
    now: float,
    outage_seconds: float,
) -> PoolForecast:
    healthy_fleet = _assume_in_service(fleet)
    members = healthy_fleet.list_pool(pool)
    plan = build_queue(policy, healthy_fleet, {}, pool, members).choose_starts()
    max_concurrent = len(plan.starts)
    limiting_reason = _find_limiting_reason(plan)
    if not max_concurrent:
        names = tuple(vm.name for vm in members)
        return PoolForecast(pool, 0, names, math.inf, limiting_reason)
    period = policy.maintenance_days * _DAY_SECONDS
    return PoolForecast(
        pool=pool,
        max_concurrent=max_concurrent,
        late=_find_late(members, max_concurrent, now - period, outage_seconds),
        remaining_seconds=math.ceil(len(members) / max_concurrent)
        * outage_seconds,
        limiting_reason=limiting_reason,
    )


def _find_late(
    members: Sequence[VmRecord],
    max_concurrent: int,
    oldest_allowed: float,
    outage_seconds: float,
) -> tuple[str, ...]:
    """Return the late VMs, if the least recently maintained go first."""
    in_order = sorted(members, key=lambda vm: vm.maintained_at)
    return tuple(
        vm.name
        for position, vm in enumerate(in_order)
        if vm.maintained_at
        < oldest_allowed + (position // max_concurrent + 1) * outage_seconds
    )


def _find_limiting_reason(plan: WavePlan) -> str:
    return next(iter(plan.waiting.values()), 'nothing')


def _assume_in_service(fleet: Fleet) -> Fleet:
    entries = {
        name: dataclasses.replace(
            entry,
            record=dataclasses.replace(
                entry.record,
                state=VmState.IN_SERVICE,
            ),
        )
        for name, entry in fleet.entries.items()
    }
    return Fleet(entries, fleet.revision)
