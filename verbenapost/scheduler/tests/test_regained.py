"""A daemon that leads again right after it lost the leadership."""

import asyncio

from standins.fleet.workers import FleetWorker
from standins.fleet.world import SERVICE, WORKER_CAPACITY
from verbenapost.platform.names import WORKER_PREFIX
from verbenapost.protocol.orders import KeyChange
from verbenapost.scheduler import election as election_module
from verbenapost.scheduler.keys import LEADER_KEY
from verbenapost.scheduler.tests.scenarios import wait_for_leader


class TestLeadershipRegainedAtOnce:
    """What a leader of an earlier term knew is not used in a later one."""

    def test_each_term_has_a_leader_of_its_own(self, play, monkeypatch):
        async def scenario(world):
            leader = await wait_for_leader(world)
            monkeypatch.setattr(election_module.random, 'random', lambda: 0)
            monkeypatch.setattr(election_module, 'RECENT_START_SECONDS', 1e9)
            tokens = set()
            for step in range(80):
                await asyncio.sleep(1 + 0.005 * step)
                world.store.remove(LEADER_KEY)
                await asyncio.sleep(1)
                leading = leader.core._leader
                tokens.add(
                    (
                        leader.ports.election.token,
                        leading._pool_states._token,
                    )
                )
            return [pair for pair in sorted(tokens) if len(set(pair)) > 1]

        assert play(scenario, daemons=1, standby_vms=0) == []

    def test_nothing_of_an_earlier_term_goes_on(self, play):
        """A link of an earlier term used the token of the next one."""

        async def scenario(world):
            daemon = await wait_for_leader(world)
            former = daemon.core._leader
            daemon.ports.election.lose('test')
            while daemon.core._leader is former:
                await asyncio.sleep(0.01)
            # The worker registers while the leader closes.
            late = FleetWorker(world, 'w9', SERVICE, WORKER_CAPACITY)
            late.register()
            item = world.store.items[f'{WORKER_PREFIX}w9']
            former._fleet.apply_change(KeyChange(item.key, item.value, 1))
            await asyncio.sleep(1)
            return len(former._fleet.tasks)

        assert play(scenario, daemons=1) == 0
