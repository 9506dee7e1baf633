"""API keys of callers and the tenants of jobs, in virtual time."""

import asyncio
import json

import pytest
from structlog.testing import capture_logs

from standins.fleet.world import SERVICE
from verbenapost.protocol.codec import encode
from verbenapost.protocol.orders import KeyChange, KeyValue
from verbenapost.scheduler.answers import EntryRequest
from verbenapost.scheduler.keys import (
    PROGRESS_PREFIX,
    SUBMITTED_PREFIX,
    make_cancel_key,
    make_spec_key,
)
from verbenapost.scheduler.messages import AdmissionRequest, StateResponse
from verbenapost.scheduler.tests.scenarios import (
    COMPLETED,
    STEPS,
    name_job,
    name_long_running,
    wait_for_leader,
)
from verbenapost.state.submissions import unpack_job
from verbenapost.state.tenants import TenantTerms

JOB = name_job(1)
LASTING = name_long_running(1)
KEY = 'pqk8bdk9eevyxq2yyaza'
SECOND_KEY = 'x6pw0s4n1cq7u2m9dkeh'
OTHER_KEY = 'h3v8zzk2m5t0r9y1b6ne'
CAP = {'cpu': 90000, 'mem_mb': 90000, 'gpu': 0}

#: Seconds within which the daemons of a world adopt a version.
ADOPTION = 2


def make_tenants(**keys_by_name):
    return [
        {'name': name, 'api_keys': keys, 'weight': 3, 'cap': CAP}
        for name, keys in keys_by_name.items()
    ]


TENANTS = make_tenants(one=[KEY, SECOND_KEY], two=[OTHER_KEY])


async def start(world, version=2, **options):
    """Put tenants in force and wait for them and for a leader."""
    options.setdefault('tenants', TENANTS)
    world.configure(version=version, **options)
    await asyncio.sleep(ADOPTION)
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
    @pytest.mark.parametrize('key', ['', 'KEY KEY', 'unknown'])
    @pytest.mark.parametrize('path', [JOB, '', 'short'])
    @pytest.mark.parametrize('method', ['POST', 'GET', 'DELETE', 'PUT'])
    def test_a_request_without_a_key_reaches_nothing(
        self, play, method, path, key
    ):
        """Nothing may be stored, or requested from the leader, before."""

        async def scenario(world):
            leader = await start(world)
            asked = []
            leader.core._answer = asked.append
            store = world.daemons['d0'].store
            for name in ('commit', 'read_key', 'probe'):
                setattr(store, name, asked.append)
            answer = await world.call(method, path, b'{', key=key)
            stored = [
                name
                for name in world.store.items
                if name.startswith((SUBMITTED_PREFIX, PROGRESS_PREFIX))
            ]
            assert 'error' in json.loads(answer.body)
            return answer.status, answer.retry_after, asked, stored

        assert play(scenario) == (401, None, [], [])

    def test_every_key_of_a_tenant_serves_every_request(self, play):
        async def scenario(world):
            await start(world)
            first = await world.submit(LASTING, STEPS, key=KEY)
            repeat = await world.submit(LASTING, STEPS, 'd1', SECOND_KEY)
            pending = await world.call('GET', key=KEY)
            state = await world.call('GET', LASTING, key=SECOND_KEY)
            cancel = await world.call('DELETE', LASTING, key=SECOND_KEY)
            return [
                row.status for row in (first, repeat, pending, state, cancel)
            ]

        assert play(scenario) == [200] * 5

    def test_no_configuration_and_no_queue_are_told_before_the_key(self, play):
        async def scenario(world):
            entry = world.daemons['d0'].entry
            request = EntryRequest('GET', 'host', '/none/', b'', 0)
            unconfigured = await entry.serve(request)
            await start(world)
            unknown = await entry.serve(request)
            return unconfigured.status, unknown.status

        assert play(scenario) == (503, 404)

    def test_an_empty_list_of_tenants_lets_nobody_in(self, play):
        async def scenario(world):
            await start(world, tenants=[])
            return await call_all(world, key=KEY)

        assert play(scenario) == (401, 401, 401)

    def test_a_configuration_without_tenants_needs_no_key(self, play):
        async def scenario(world):
            await start(world, tenants=None)
            statuses = await call_all(world, key='any')
            return statuses, read_spec(world).tenant

        assert play(scenario) == ((410, 200, 200), None)


class TestVersions:
    def test_keys_are_removed_and_added_by_versions(self, play):
        async def scenario(world):
            await start(world)
            found = []
            for version, keys in enumerate(([SECOND_KEY], [KEY]), 3):
                await start(world, version, tenants=make_tenants(one=keys))
                for daemon in world.daemons:
                    for key in (KEY, SECOND_KEY):
                        answer = await world.call('GET', daemon=daemon, key=key)
                        found.append(answer.status)
            return found

        assert play(scenario) == [401, 200] * 3 + [200, 401] * 3

    def test_an_invalid_version_leaves_the_one_in_force(self, play):
        async def scenario(world):
            await start(world)
            tenants = make_tenants(one=[KEY], two=[KEY])
            with capture_logs() as logs:
                await start(world, 3, tenants=tenants)
            faults = {
                row['fault']
                for row in logs
                if row['event'] == 'configuration ignored'
            }
            answer = await world.call('GET', key=SECOND_KEY)
            return answer.status, faults

        expected = (
            'tenants.1.api_keys.0 is the same key as tenants.0.api_keys.0'
        )
        assert play(scenario) == (200, {expected})

    def test_terms_of_a_tenant_are_those_of_the_version_in_force(self, play):
        async def scenario(world):
            await start(world)
            follower = world.daemons['d0'].ports.configuration
            found = [follower.find_tenant('one'), follower.find_tenant('none')]
            await start(world, 3, tenants=[])
            found.append(follower.find_tenant('one'))
            await start(world, 4, tenants=None)
            return [*found, follower.find_tenant('one')]

        one, *others = play(scenario)
        assert (one.name, one.weight, one.cap.cpu) == ('one', 3, 90000)
        assert others == [None] * 3

    def test_a_job_outlives_its_key(self, play):
        """Its tenant asks for it with a key that was added later."""

        async def scenario(world):
            await start(world)
            await world.submit(JOB, STEPS, key=KEY)
            await start(world, 3, tenants=make_tenants(two=[OTHER_KEY]))
            await asyncio.sleep(15)
            gone = await world.call('GET', JOB, key=KEY)
            await start(world, 4, tenants=make_tenants(one=['later']))
            state = await world.call('GET', JOB, key='later')
            return gone.status, state.body.decode()

        assert play(scenario) == (401, COMPLETED)


class TestOwners:
    """Another tenant may neither see, cancel nor repeat a job."""

    def test_terms_are_stored_with_a_job_and_stay_after_its_end(self, play):
        async def scenario(world):
            await start(world)
            await world.submit(JOB, STEPS, key=KEY)
            accepted = read_spec(world).tenant
            await asyncio.sleep(15)
            ended = read_spec(world)
            return accepted, ended.steps, ended.tenant

        accepted, steps, ended = play(scenario)
        assert accepted.name == 'one'
        assert accepted.cap.cpu == CAP['cpu']
        assert (steps, ended) == ((), accepted)

    @pytest.mark.parametrize('cut', [False, True])
    @pytest.mark.parametrize('seconds', [0, 15])
    @pytest.mark.parametrize('job', [JOB, LASTING])
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
            own = await call_all(world, job, KEY, daemon)
            return others, marked, own

        assert play(scenario) == ((403,) * 3, False, (200,) * 3)

    def test_a_refusal_for_room_shows_nothing_of_it(self, play):
        async def scenario(world):
            leader = await start(world)
            await world.submit(LASTING, STEPS, key=KEY)
            check = leader.core._leader.check_admission

            def refuse(request):
                response = check(request)
                return type(response)(accepted=False, retry_after=1)

            leader.core._leader.check_admission = refuse
            other = await world.submit(LASTING, STEPS, key=OTHER_KEY)
            own = await world.submit(LASTING, STEPS, key=KEY)
            return other.status, own.status

        assert play(scenario) == (403, 200)

    @pytest.mark.parametrize('cut', [False, True])
    def test_a_job_withdrawn_before_it_was_stored_has_an_owner(self, play, cut):
        async def scenario(world):
            await start(world)
            if cut:
                cut_leader(world, 'd1')
            withdrawn = await world.call('DELETE', JOB, key=KEY)
            others = await call_all(world, JOB, OTHER_KEY, 'd1')
            own = await call_all(world, JOB, SECOND_KEY, 'd1')
            return withdrawn.status, others, own

        assert play(scenario) == (410, (403,) * 3, (410,) * 3)

    def test_a_record_that_cannot_be_read_belongs_to_nobody(self, play):
        async def scenario(world):
            await start(world)
            world.store.write(make_spec_key(JOB), b'\x81\xa6tenant\x07')
            return await call_all(world, key=KEY)

        assert play(scenario) == (403,) * 3

    def test_owner_survives_a_change_of_leader(self, play):
        async def scenario(world):
            leader = await start(world)
            await world.submit(LASTING, STEPS, key=KEY)
            await leader.stop()
            leader = await wait_for_leader(world)
            return await call_all(world, LASTING, OTHER_KEY, leader.name)

        assert play(scenario) == (403,) * 3


class TestExemptRoutes:
    def test_jobs_need_no_key_and_belong_to_no_tenant(self, play):
        async def scenario(world):
            await start(world, auth_exempt=True)
            pending = await world.call('GET')
            statuses = await call_all(world)
            await world.submit(name_job(2), STEPS, key=KEY)
            tenants = [read_spec(world, name_job(row)).tenant for row in (1, 2)]
            return pending.status, statuses, tenants

        assert play(scenario) == (200, (410, 200, 200), [None, None])

    def test_a_tenants_job_stays_its_own_once_the_route_is_exempt(self, play):
        async def scenario(world):
            await start(world)
            await world.submit(LASTING, STEPS, key=KEY)
            await start(world, 3, auth_exempt=True)
            nobody = await call_all(world, LASTING)
            other = await call_all(world, LASTING, OTHER_KEY)
            own = await call_all(world, LASTING, KEY)
            return nobody, other, own

        assert play(scenario) == ((403,) * 3, (403,) * 3, (200,) * 3)

    def test_jobs_from_before_there_were_tenants_are_open(self, play):
        async def scenario(world):
            await start(world, tenants=None)
            await world.submit(LASTING, STEPS)
            await start(world, 3)
            return await call_all(world, LASTING, OTHER_KEY)

        assert play(scenario) == (200,) * 3


class TestSecrecy:
    """No key leaves the digests of the configuration in force."""

    def test_no_key_is_logged_or_stored(self, play, capsys):
        async def scenario(world):
            with capture_logs() as logs:
                await start(world)
                for key in (KEY, f'{KEY} {KEY}', f'{KEY}x'):
                    await call_all(world, key=key)
                await call_all(world, key=OTHER_KEY)
                tenants = make_tenants(one=[KEY], two=[KEY])
                await start(world, 3, tenants=tenants)
            stored = [
                (name, item.value)
                for name, item in world.store.items.items()
                if name != 'op/config'
            ]
            daemon = world.daemons['d0']
            kept = [
                repr(daemon.ports.configuration.current),
                repr(vars(daemon.entry._authenticator)),
                repr(vars(daemon.core._operator_follower)),
            ]
            return repr((logs, stored, kept))

        found = play(scenario) + repr(capsys.readouterr())
        assert SERVICE in found
        for key in (KEY, OTHER_KEY):
            assert key not in found

    def test_no_key_is_in_a_repr_or_message(self):
        terms = TenantTerms('one')
        request = EntryRequest('GET', 'h', '/', b'', 0, f'Token {KEY}'.encode())
        shown = [
            repr(request),
            repr(KeyValue('op/config', KEY.encode(), 1)),
            repr(KeyChange('op/config', KEY.encode(), 1)),
            repr(encode(AdmissionRequest(JOB, 'p', 's', 1, 1, 0, terms.name))),
            repr(encode(StateResponse('queued', terms.name))),
        ]
        assert KEY not in ''.join(shown)
