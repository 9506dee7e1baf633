"""API keys of callers and the tenants of jobs, in virtual time."""

import asyncio
import itertools

import pytest
from structlog.testing import capture_logs

from standins.fleet.configurations import ConfiguredTenant
from verbenapost.platform.names import CONFIGURATION_KEY
from verbenapost.protocol.orders import KeyChange, KeyValue
from verbenapost.scheduler.answers import EntryRequest
from verbenapost.scheduler.keys import make_cancel_key, make_spec_key
from verbenapost.scheduler.tests.scenarios import (
    COMPLETED,
    STEPS,
    name_job,
    name_long_running,
    wait_for_leader,
)
from verbenapost.state.resources import Resources
from verbenapost.state.submissions import unpack_job

JOB = name_job(1)
LASTING = name_long_running(1)
KEY = 'pqk8bdk9eevyxq2yyaza'
SECOND_KEY = 'x6pw0s4n1cq7u2m9dkeh'
OTHER_KEY = 'h3v8zzk2m5t0r9y1b6ne'
SERVED = (200,) * 3
REFUSED = (403,) * 3


def make_tenants(**keys_by_name):
    cap = Resources(90000, 90000)
    return tuple(
        ConfiguredTenant(name, tuple(keys), 3, cap)
        for name, keys in keys_by_name.items()
    )


TENANTS = make_tenants(one=[KEY, SECOND_KEY], two=[OTHER_KEY])


async def start(world, version=2, **options):
    """Put tenants in force and wait for them and for a leader."""
    options.setdefault('tenants', TENANTS)
    world.configure(version=version, **options)
    await asyncio.sleep(2)
    return await wait_for_leader(world)


async def call_all(world, job=JOB, key='', daemon='d0'):
    """Return the statuses of a query, a repeated submission and a cancel."""
    get = await world.call('GET', job, daemon=daemon, key=key)
    post = await world.submit(job, STEPS, daemon, key)
    delete = await world.call('DELETE', job, daemon=daemon, key=key)
    return get.status, post.status, delete.status


def cut_leader(world, daemon):
    """Let a daemon's entry reach no leader, so that it reads the store."""
    world.daemons[daemon].core.find_local_handler = lambda: None
    world.daemons[daemon].core.find_leader = lambda: None


def read_spec(world, job=JOB):
    return unpack_job(world.store.items[make_spec_key(job)].value)


class TestKeys:
    """A request without a valid key must not be served."""

    @pytest.mark.parametrize('key', ['', 'KEY KEY', 'unknown'])
    def test_a_request_without_a_key_reaches_nothing(self, play, key):
        """Nothing may be stored, or requested from the leader, before."""

        async def scenario(world):
            leader = await start(world)
            asked = []
            leader.core._answer = asked.append
            store = world.daemons['d0'].store
            for name in ('commit', 'read_key', 'probe'):
                setattr(store, name, asked.append)
            answers = [
                await world.call(method, path, b'{', key=key)
                for method in ('POST', 'GET', 'DELETE', 'PUT')
                for path in (JOB, '', 'short')
            ]
            found = {(row.status, row.retry_after) for row in answers}
            return found, asked

        assert play(scenario) == ({(401, None)}, [])

    def test_every_key_of_a_tenant_serves_every_request(self, play):
        async def scenario(world):
            await start(world)
            first = await world.submit(LASTING, STEPS, key=KEY)
            pending = await world.call('GET', key=KEY)
            others = await call_all(world, LASTING, SECOND_KEY, 'd1')
            return first.status, pending.status, others

        assert play(scenario) == (200, 200, SERVED)

    def test_no_configuration_and_no_queue_are_told_before_the_key(self, play):
        async def scenario(world):
            entry = world.daemons['d0'].entry
            request = EntryRequest('GET', 'host', '/none/', b'', 0)
            unconfigured = await entry.serve(request)
            await start(world)
            unknown = await entry.serve(request)
            return unconfigured.status, unknown.status

        assert play(scenario) == (503, 404)

    @pytest.mark.parametrize(
        ('tenants', 'statuses'), [([], (401,) * 3), (None, (410, 200, 200))]
    )
    def test_keys_are_needed_once_there_is_a_list(
        self, play, tenants, statuses
    ):
        async def scenario(world):
            await start(world, tenants=tenants)
            return await call_all(world, key=KEY)

        assert play(scenario) == statuses


class TestVersions:
    """A removed key must not go on working, nor a job lose its owner."""

    def test_keys_are_removed_and_added_by_valid_versions(self, play):
        async def scenario(world):
            found = []
            lists = ([KEY], [SECOND_KEY], [KEY], ['', KEY, SECOND_KEY])
            for version, keys in enumerate(lists, 2):
                await start(world, version, tenants=make_tenants(one=keys))
                found += [
                    (await world.call('GET', daemon=name, key=key)).status
                    for key in (KEY, SECOND_KEY)
                    for name in world.daemons
                ]
            return found

        first = [200] * 3 + [401] * 3
        assert play(scenario) == [*first, *first[::-1], *first, *first]

    def test_terms_of_a_tenant_are_those_of_the_version_in_force(self, play):
        async def scenario(world):
            found = []
            for version, tenants in enumerate((TENANTS, [], None), 2):
                await start(world, version, tenants=tenants)
                follower = world.daemons['d0'].ports.configuration
                found.append(follower.find_tenant('one'))
            return found

        one, *others = play(scenario)
        assert (one.name, one.weight, one.cap.cpu) == ('one', 3, 90000)
        assert others == [None] * 2

    def test_a_job_outlives_its_key_with_its_owner(self, play):
        async def scenario(world):
            await start(world)
            await world.submit(JOB, STEPS, key=KEY)
            accepted = read_spec(world).tenant
            await start(world, 3, tenants=make_tenants(two=[OTHER_KEY]))
            await asyncio.sleep(15)
            gone = await world.call('GET', JOB, key=KEY)
            await start(world, 4, tenants=make_tenants(one=['later']))
            state = await world.call('GET', JOB, key='later')
            ended = read_spec(world)
            assert (ended.steps, ended.tenant) == ((), accepted)
            return accepted.name, gone.status, state.body.decode()

        assert play(scenario) == ('one', 401, COMPLETED)


class TestOwners:
    """Another tenant may neither see, cancel nor repeat a job."""

    @pytest.mark.parametrize(
        ('job', 'seconds', 'cut'),
        [*itertools.product((JOB, LASTING), (0, 15), (False, True))],
    )
    def test_another_tenant_is_refused(self, play, job, seconds, cut):
        """By the leader or by the store, before and after the job's end."""

        async def scenario(world):
            leader = await start(world)
            daemon = next(name for name in world.daemons if name != leader.name)
            await world.submit(job, STEPS, key=KEY)
            await asyncio.sleep(seconds)
            if cut:
                cut_leader(world, daemon)
            others = await call_all(world, job, OTHER_KEY, daemon)
            marked = make_cancel_key(job) in world.store.items
            return others, marked, await call_all(world, job, KEY, daemon)

        assert play(scenario) == (REFUSED, False, SERVED)

    def test_a_full_pool_and_another_leader_show_no_more(self, play):
        async def scenario(world):
            await (await start(world)).stop()
            leader = await wait_for_leader(world)
            await world.submit(LASTING, STEPS, leader.name, KEY)
            check = leader.core._leader.check_admission
            leader.core._leader.check_admission = lambda request: type(
                check(request)
            )(accepted=False)
            return [
                (await world.submit(LASTING, STEPS, leader.name, key)).status
                for key in (OTHER_KEY, KEY)
            ]

        assert play(scenario) == [403, 200]

    @pytest.mark.parametrize('cut', [False, True])
    def test_a_job_withdrawn_before_it_was_stored_has_an_owner(self, play, cut):
        async def scenario(world):
            await start(world)
            if cut:
                cut_leader(world, 'd1')
            await world.call('DELETE', JOB, key=KEY)
            others = await call_all(world, JOB, OTHER_KEY, 'd1')
            return others, await call_all(world, JOB, SECOND_KEY, 'd1')

        assert play(scenario) == (REFUSED, (410,) * 3)

    def test_a_record_that_cannot_be_read_belongs_to_nobody(self, play):
        async def scenario(world):
            await start(world)
            world.store.write(make_spec_key(JOB), b'\x81\xa6tenant\x07')
            return await call_all(world, key=KEY)

        assert play(scenario) == REFUSED


class TestExemptRoutes:
    """An exempt route must not open jobs that belong to a tenant."""

    @pytest.mark.parametrize('key', ['', KEY, 'unknown'])
    def test_jobs_need_no_key_and_belong_to_no_tenant(self, play, key):
        async def scenario(world):
            await start(world, auth_exempt=True)
            statuses = await call_all(world, key=key)
            pending = await world.call('GET', key=key)
            return statuses, pending.status, read_spec(world).tenant

        assert play(scenario) == ((410, 200, 200), 200, None)

    def test_a_tenants_job_stays_its_own_once_the_route_is_exempt(self, play):
        async def scenario(world):
            await start(world)
            await world.submit(LASTING, STEPS, key=KEY)
            await start(world, 3, auth_exempt=True)
            keys = ('', OTHER_KEY, KEY)
            return [await call_all(world, LASTING, key) for key in keys]

        assert play(scenario) == [REFUSED, REFUSED, SERVED]

    def test_a_job_from_before_there_were_tenants_is_open(self, play):
        async def scenario(world):
            await start(world, tenants=None)
            await world.submit(LASTING, STEPS)
            await start(world, 3)
            return await call_all(world, LASTING, OTHER_KEY)

        assert play(scenario) == SERVED


class TestSecrecy:
    """A key must not leave the process."""

    def test_no_key_is_logged_stored_or_kept(self, play, capsys):
        async def scenario(world):
            with capture_logs() as logs:
                await start(world)
                for key in (KEY, f'{KEY} {KEY}', f'{KEY}x', OTHER_KEY):
                    await call_all(world, key=key)
                tenants = make_tenants(one=[KEY], two=[KEY])
                await start(world, 3, tenants=tenants)
            stored = dict(world.store.items)
            stored.pop(CONFIGURATION_KEY)
            parts = world.daemons['d0']
            kept = (
                parts.ports.configuration.current,
                vars(parts.entry._authenticator),
                vars(parts.core._operator_follower),
                [item.value for item in stored.values()],
                EntryRequest('GET', 'h', '/', b'', 0, KEY.encode()),
                KeyValue(CONFIGURATION_KEY, KEY.encode(), 1),
                KeyChange(CONFIGURATION_KEY, KEY.encode(), 1),
            )
            return repr((logs, stored, kept))

        found = play(scenario) + repr(capsys.readouterr())
        assert 'is the same key as tenants.0.api_keys.0' in found
        assert KEY not in found
        assert OTHER_KEY not in found


class TestGangBeyondTheCap:
    """A gang that can never start must not be accepted."""

    def test_it_is_refused_at_once(self, play):
        """It would be accepted and wait for ever."""
        gang = [{'count': 3, 'cpu': 60000, 'mem_mb': 10, 'gang': True}]

        async def scenario(world):
            await start(world)
            answer = await world.submit(JOB, gang, key=KEY)
            stored = make_spec_key(JOB) in world.store.items
            return answer.status, answer.retry_after, stored

        assert play(scenario) == (429, None, False)
