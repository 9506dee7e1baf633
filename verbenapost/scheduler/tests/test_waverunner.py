"""Waves that are requested while another wave is being written."""

import asyncio
import dataclasses

from standins.fleet.world import SERVICE
from verbenapost.scheduler.tests.scenarios import wait_for_leader


class TestConcurrentRequests:
    def test_a_wave_requested_during_a_write_is_carried_out(self, play):
        """The second request arrives while the first wave is stored."""

        async def scenario(world):
            leader = await wait_for_leader(world)
            vms = [
                row.vm for row in world.cloud.list_vms() if row.pool == SERVICE
            ]
            configuration = leader.ports.configuration
            world.request_wave(1, vms[:1], duration=20, cap=1)
            while 1 not in configuration.waves:
                await asyncio.sleep(0.001)
            commit = leader.store.commit

            async def commit_beside_request(transaction):
                first = configuration.waves[1]
                configuration.waves.setdefault(
                    2, dataclasses.replace(first, number=2, vms=(vms[1],))
                )
                return await commit(transaction)

            leader.store.commit = commit_beside_request
            await asyncio.sleep(15)
            return {row.vm for row in world.cloud.maintained} == set(vms[:2])

        assert play(scenario, standby_vms=1)
