"""Cloud orders of a new leader whose predecessor may still send some."""

import asyncio
import dataclasses

import pytest

from standins.fleet.world import SERVICE, make_settings
from verbenapost.daemon.logs import make_logger
from verbenapost.scheduler.election import Election
from verbenapost.scheduler.leadership import Leadership
from verbenapost.scheduler.predecessor import Predecessor
from verbenapost.scheduler.tests.scenarios import (
    STEPS,
    check_rules,
    name_job,
    wait_for_leader,
)

LAST = Leadership(3, 'd0', 'first', '127.0.0.1:1')


class TestProcesses:
    @pytest.mark.parametrize(
        ('daemon', 'incarnation', 'fencing', 'gone'),
        [
            ('d0', 'second', True, True),
            ('d0', 'first', True, False),
            ('d1', 'second', True, False),
            ('d0', 'second', False, False),
        ],
    )
    def test_a_newer_process_of_its_daemon_shows_it_dead(
        self, daemon, incarnation, fencing, gone
    ):
        settings = make_settings('d1')
        bounds = settings.bounds.model_copy(
            update={'fencing_required': fencing}
        )
        settings = settings.model_copy(update={'bounds': bounds})
        election = Election(None, settings, make_logger('election'))
        election.predecessor = Predecessor(LAST)
        election.note_process(daemon, incarnation)
        assert election.predecessor.gone is gone

    def test_a_leader_that_has_resigned_stays_gone(self):
        predecessor = Predecessor(LAST, gone=True)
        predecessor.note_process('d0', 'first')
        assert predecessor.gone


class TestPowerLoss:
    """All daemons are killed at once and start again."""

    async def lose_power(self, world):
        """Return the seconds from the restart to the first order of a VM."""
        await wait_for_leader(world)
        await world.submit(name_job(1), STEPS, 'd1')
        for daemon in world.daemons.values():
            await daemon.kill()
        await asyncio.sleep(2)
        for name in tuple(world.daemons):
            world.add_daemon(name)
        restarted_at = world.now()
        leader = await wait_for_leader(world)
        for daemon in world.daemons.values():
            process = daemon.ports.election.incarnation
            leader.ports.election.note_process(daemon.name, process)
        wide = [dataclasses.asdict(WideStep())]
        await world.submit(name_job(2), wide, leader.name)
        for _ in range(100):
            if self.has_moved(world):
                break
            await asyncio.sleep(0.05)
        return world.now() - restarted_at

    def has_moved(self, world):
        rows = world.cloud.list_vms()
        return sum(row.pool == SERVICE for row in rows) > 4

    def test_vms_move_before_the_lease_of_a_dead_leader_is_over(self, play):
        async def scenario(world):
            seconds = await self.lose_power(world)
            await asyncio.sleep(20)
            return seconds < 1.5, check_rules(world)

        assert play(scenario, standby_vms=4) == (True, [])


@dataclasses.dataclass(frozen=True)
class WideStep:
    count: int = 64
    cpu: int = 4000
