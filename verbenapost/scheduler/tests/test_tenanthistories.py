"""Caps of tenants in random histories in virtual time, under faults."""

import asyncio
import contextlib
import random

import pytest

from standins.fleet.configurations import ConfiguredTenant
from standins.fleet.tenanthistory import Disturbance, TenantHistory
from standins.fleet.tenantrules import find_tenant_violations
from verbenapost.scheduler.tests.scenarios import (
    COMPLETED,
    STEPS,
    check_rules,
    name_job,
    name_long_running,
    wait_for_leader,
)
from verbenapost.state.resources import Resources

#: Most tasks of ``STEPS`` that each tenant may run: 5 by cpu and 4 by memory,
#: of the 32 that the pool holds by cpu.
TENANTS = (
    ConfiguredTenant('t0', ('key-0',), 4, Resources(5000, 0, 0)),
    ConfiguredTenant('t1', ('key-1',), 4, Resources(0, 400, 0)),
)
LOWERED = (
    ConfiguredTenant('t0', ('key-0',), 4, Resources(1500, 0, 0)),
    TENANTS[1],
)
#: A second one is below the cap until its second member is counted.
GANG_STEPS = [{'count': 3, 'cpu': 1500, 'mem_mb': 100, 'gang': True}]

#: Attempts of a caller to submit a job.
ATTEMPTS = 3

#: Jobs without which a history would not reach the caps.
MIN_ACCEPTED = 6

KINDS = ('kill', 'stop', 'cut', 'down', 'late', 'mute', 'isolate', 'lower')


class TenantPlay:
    """Callers of two tenants, faults, and what the rules need of them."""

    def __init__(self, world, seed=0, tenants=TENANTS):
        self.world = world
        self.rng = random.Random(seed)
        self.owners = {}
        self.accepted = []
        self.disturbances = []
        # No daemon has read the version without tenants yet.
        world.versions.clear()
        self.configure(tenants)

    def configure(self, tenants):
        """Let the operators write a version."""
        self.world.configure(len(self.world.versions) + 2, tenants=tenants)

    async def submit(self, job, tenant, steps=STEPS):
        """Submit a job with a tenant's key, again while it is refused."""
        self.owners[job] = tenant.name
        for _ in range(ATTEMPTS):
            daemon = self.rng.choice(self._find_alive())
            answer = await self.world.submit(job, steps, daemon, tenant.keys[0])
            # A job without an answer may have been stored.
            self.world.accepted[job] = steps
            if answer.status == 200:
                self.accepted.append(job)
                return
            await asyncio.sleep(0.5)

    @contextlib.contextmanager
    def disturb(self, daemon=''):
        """Record the span of a fault of one daemon, or of the store."""
        start = self.world.now()
        yield
        self.disturbances.append(Disturbance(start, self.world.now(), daemon))

    def find_violations(self):
        """Return the violations of the rules on runs and on tenants."""
        history = TenantHistory(
            self.world.versions,
            runs=self.world.history,
            steps=self.world.accepted,
            owners=self.owners,
            leaders=self.world.leaders.by_token,
            disturbances=self.disturbances,
        )
        return [*check_rules(self.world), *find_tenant_violations(history)]

    async def find_incomplete(self):
        """Return the accepted jobs that callers don't see as completed."""
        left = {}
        for job in self.accepted:
            tenant = next(
                row for row in TENANTS if row.name == self.owners[job]
            )
            answer = await self.world.call('GET', job, key=tenant.keys[0])
            if answer.body.decode() != COMPLETED:
                left[job] = answer
        return left

    async def inject_fault(self):
        """Inject one random fault and end it again."""
        kind = self.rng.choice(KINDS)
        pause = self.rng.uniform(1, 5)
        worker = self.rng.choice(list(self.world.workers.values()))
        await getattr(self, f'_{kind}')(worker, pause)

    def _find_alive(self):
        return [row.name for row in self.world.daemons.values() if row.alive]

    def _choose_daemon(self):
        return self.world.find_leader() or self.world.daemons['d0']

    async def _kill(self, _worker, pause):
        daemon = self._choose_daemon()
        with self.disturb(daemon.name):
            await daemon.kill()
            await asyncio.sleep(pause)
            self.world.add_daemon(daemon.name)

    async def _stop(self, _worker, _pause):
        daemon = self._choose_daemon()
        with self.disturb(daemon.name):
            await daemon.stop()
            self.world.add_daemon(daemon.name)

    async def _cut(self, _worker, pause):
        daemon = self._choose_daemon()
        with self.disturb(daemon.name):
            daemon.store.faults.silent = True
            await asyncio.sleep(pause)
            daemon.store.faults.silent = False

    async def _down(self, _worker, pause):
        with self.disturb():
            self.world.store.faults.down = True
            await asyncio.sleep(pause)
            self.world.store.faults.down = False

    async def _late(self, worker, pause):
        worker.faults.late = 0.5
        await asyncio.sleep(pause)
        worker.faults.late = 0

    async def _mute(self, worker, pause):
        worker.faults.mute = True
        await asyncio.sleep(pause)
        worker.faults.mute = False

    async def _isolate(self, worker, pause):
        worker.faults.unreachable = True
        await asyncio.sleep(2 * pause)
        worker.faults.unreachable = False

    async def _lower(self, _worker, pause):
        self.configure(LOWERED)
        await asyncio.sleep(2 * pause)
        self.configure(TENANTS)


async def submit_jobs(tenants_play, first, last):
    """Submit jobs of both tenants, more than their caps allow at once."""
    await wait_for_leader(tenants_play.world)
    await asyncio.sleep(1)
    for number in range(first, last):
        await tenants_play.submit(name_job(number), TENANTS[number % 2])
        await asyncio.sleep(0.3)
    # Some may be refused because of the tenant's backlog.
    assert len(tenants_play.accepted) >= MIN_ACCEPTED


class TestCaps:
    """A leader that lets a tenant run more than its cap and one task."""

    def test_the_cap_holds_without_faults(self, play):
        async def scenario(world):
            tenants_play = TenantPlay(world)
            await submit_jobs(tenants_play, 0, 24)
            await asyncio.sleep(30)
            return (
                tenants_play.find_violations(),
                await tenants_play.find_incomplete(),
            )

        assert play(scenario) == ([], {})

    def test_caps_that_are_not_reached_are_not_violated(self, play):
        """The rule reports nothing where no tenant comes near its cap."""

        async def scenario(world):
            large = tuple(
                ConfiguredTenant(row.name, row.keys, 4, Resources(90_000, 0, 0))
                for row in TENANTS
            )
            tenants_play = TenantPlay(world, tenants=large)
            await submit_jobs(tenants_play, 0, 24)
            await asyncio.sleep(30)
            return (
                tenants_play.find_violations(),
                await tenants_play.find_incomplete(),
            )

        assert play(scenario) == ([], {})

    def test_the_cap_holds_for_the_next_leader(self, play):
        """A leader that doesn't count what it has inherited."""

        async def scenario(world):
            tenants_play = TenantPlay(world)
            await submit_jobs(tenants_play, 0, 12)
            leader = world.find_leader()
            with tenants_play.disturb(leader.name):
                await leader.kill()
                world.add_daemon(leader.name)
            await submit_jobs(tenants_play, 12, 24)
            await asyncio.sleep(20)
            return tenants_play.find_violations()

        assert play(scenario) == []

    def test_nothing_starts_by_a_former_cap(self, play):
        """A leader that goes on with the cap of an older version."""

        async def scenario(world):
            tenants_play = TenantPlay(world)
            await submit_jobs(tenants_play, 0, 8)
            tenants_play.configure(LOWERED)
            await asyncio.sleep(3)
            for number in range(8, 14):
                await tenants_play.submit(name_job(number), TENANTS[0])
            await asyncio.sleep(30)
            return tenants_play.find_violations()

        assert play(scenario) == []

    def test_a_gang_starts_only_where_its_cap_allows_it(self, play):
        """A leader that checks the cap for the first member only."""

        async def scenario(world):
            tenants_play = TenantPlay(world)
            await wait_for_leader(world)
            for number in range(3):
                await tenants_play.submit(
                    name_long_running(number), TENANTS[0], GANG_STEPS
                )
            await asyncio.sleep(5)
            return tenants_play.find_violations(), len(world.history) > 0

        assert play(scenario) == ([], True)


class TestRandomHistories:
    """A cap must hold whatever fails meanwhile."""

    async def play_seed(self, world, seed):
        tenants_play = TenantPlay(world, seed)
        await wait_for_leader(world)
        number = 0
        for _ in range(4):
            fault = asyncio.create_task(tenants_play.inject_fault())
            for _ in range(6):
                number += 1
                await tenants_play.submit(name_job(number), TENANTS[number % 2])
                await asyncio.sleep(tenants_play.rng.uniform(0, 0.6))
            await fault
        await asyncio.sleep(40)
        await wait_for_leader(world)
        assert len(tenants_play.accepted) >= MIN_ACCEPTED
        return (
            tenants_play.find_violations(),
            await tenants_play.find_incomplete(),
        )

    @pytest.mark.parametrize('seed', range(30))
    def test_random_faults_break_no_cap(self, play, seed):
        async def scenario(world):
            return await self.play_seed(world, seed)

        assert play(scenario, seed=seed) == ([], {})
