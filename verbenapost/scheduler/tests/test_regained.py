"""A daemon that leads again right after it lost the leadership."""

import asyncio

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
