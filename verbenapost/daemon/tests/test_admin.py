"""Tests of the administration."""

import json

import pytest

from verbenapost.daemon.admin import MAX_CALL_BYTES, make_registry
from verbenapost.daemon.check import parse_settings
from verbenapost.daemon.tests.fakes import (
    OFFICE,
    READER,
    ROOT,
    SHOP,
    FakeDaemon,
    call,
    digest,
    make_app,
)
from verbenapost.daemon.tests.test_check import GOOD
from verbenapost.protocol.admin import VmAction, WaveAction
from verbenapost.protocol.errors import ErrorKind, Failure

PUT = '/-/config/shop?reason=more'
MATCH = [(b'if-match', b'"7"')]


@pytest.fixture
def daemon():
    return FakeDaemon()


@pytest.fixture
def app(daemon):
    return make_app(daemon)


class TestProbes:
    async def test_open_to_all(self, app):
        assert (await call(app, 'GET', '/-/live', token=''))[0] == 200
        assert (await call(app, 'GET', '/-/ready', token=''))[0] == 200
        status, _, body = await call(app, 'GET', '/-/metrics', token='')
        assert status == 200
        assert b'verbenapost_requests_total' in body

    async def test_not_ready_gives_the_reason(self, app, daemon):
        daemon.ready = False
        status, _, body = await call(app, 'GET', '/-/ready', token='')
        assert status == 503
        assert json.loads(body)['detail'] == 'the view is not fresh'


class TestReading:
    @pytest.mark.parametrize(
        ('path', 'expected'),
        [
            ('status', 'dc-a'),
            ('teams', 'till'),
            ('config/shop', 'services'),
            ('config/shop/history', 'more slots'),
            ('vms', 'vm-1'),
            ('pools', 'counter'),
            ('services', 'till'),
            ('budgets', 'min_healthy'),
            ('waves', 'running'),
            ('jobs', 'queued'),
            ('jobs/j-1', 'queued'),
            ('members', 'd-2'),
        ],
    )
    async def test_answers_are_json(self, app, path, expected):
        status, headers, body = await call(app, 'GET', f'/-/{path}', READER)
        assert status == 200
        assert headers[b'content-type'] == b'application/json'
        assert expected in json.dumps(json.loads(body))

    async def test_revision_is_the_entity_tag(self, app):
        headers = (await call(app, 'GET', '/-/config/shop'))[1]
        assert headers[b'etag'] == b'"7"'

    @pytest.mark.parametrize(
        ('path', 'name'), [('services', 'till'), ('teams', 'shop')]
    )
    async def test_objects_of_other_teams_are_hidden(self, app, path, name):
        items = json.loads((await call(app, 'GET', f'/-/{path}', SHOP))[2])
        assert len(items['items']) == 1
        assert name in json.dumps(items)

    async def test_failure_of_a_port_is_a_problem(self, app, daemon):
        daemon.failure = Failure(ErrorKind.STORE_UNAVAILABLE, 'down')
        status, headers, body = await call(app, 'GET', '/-/vms')
        assert (status, json.loads(body)['detail']) == (503, 'down')
        assert headers[b'retry-after'] == b'2'

    async def test_exception_text_is_not_disclosed(self, app, daemon):
        daemon.list_members = None
        status, _, body = await call(app, 'GET', '/-/members')
        assert (status, json.loads(body)['kind']) == (500, 'internal')
        assert b'NoneType' not in body


class TestRights:
    @pytest.mark.parametrize('token', ['', 'wrong', 'Bearer'])
    @pytest.mark.parametrize(
        ('method', 'path'),
        [
            ('GET', 'status'),
            ('PUT', 'config/shop'),
            ('POST', 'vms/vm-1/drain'),
            ('POST', 'members/d-2/forget'),
        ],
    )
    async def test_unknown_token(self, app, daemon, token, method, path):
        status, headers, _ = await call(app, method, f'/-/{path}', token)
        assert status == 401
        assert b'www-authenticate' in headers
        assert not daemon.requests

    @pytest.mark.parametrize(
        ('token', 'method', 'path'),
        [
            (READER, 'PUT', 'config/shop'),
            (SHOP, 'PUT', 'config/shops'),
            (SHOP, 'PUT', 'config/platform'),
            (SHOP, 'GET', 'config/office'),
            (SHOP, 'GET', 'config/office/history'),
            (OFFICE, 'GET', 'jobs/j-1'),
            (OFFICE, 'POST', 'jobs/j-1/cancel'),
            (READER, 'POST', 'vms/vm-1/drain'),
            (SHOP, 'POST', 'vms/vm-1/drain'),
            (SHOP, 'POST', 'waves/stop'),
            (READER, 'POST', 'jobs/j-1/cancel'),
            (SHOP, 'POST', 'members/d-2/forget'),
        ],
    )
    async def test_right_is_missing(self, app, daemon, token, method, path):
        status, _, body = await call(app, method, f'/-/{path}', token)
        assert (status, json.loads(body)['kind']) == (403, 'forbidden')
        assert not daemon.requests

    async def test_settings_name_the_tokens(self):
        operators = [
            {
                'name': 'kim',
                'token_sha256': digest('t'),
                'subtrees': ['/teams/shop', '/platform'],
                'role': 'write',
            }
        ]
        text = json.dumps({**GOOD, 'operators': operators})
        registry = make_registry(parse_settings(text).unwrap())
        rights = registry.authenticate('t').unwrap()
        assert len(rights.tokens) == 2


class TestConfiguration:
    async def test_change(self, app, daemon):
        status, headers, body = await call(
            app, 'PUT', PUT, SHOP, {'services': {}}, MATCH
        )
        assert status == 200
        assert headers[b'etag'] == b'"8"'
        assert json.loads(body)['lagging'] == []
        request = daemon.requests[0]
        assert (request.author, request.reason) == ('kim', 'more')
        assert (request.expected, request.document) == (7, {'services': {}})

    async def test_any_revision(self, app, daemon):
        status = await call(app, 'PUT', PUT, ROOT, {}, [(b'if-match', b'*')])
        assert status[0] == 200
        assert daemon.requests[0].expected is None

    async def test_race_is_a_conflict(self, app):
        status, _, body = await call(
            app, 'PUT', PUT, ROOT, {}, [(b'if-match', b'6')]
        )
        assert (status, json.loads(body)['kind']) == (409, 'conflict')

    @pytest.mark.parametrize(
        ('lagging', 'status'), [([['d-2'], []], 200), ([['d-2']] * 99, 202)]
    )
    async def test_wait_lists_lagging_members(
        self, app, daemon, lagging, status
    ):
        daemon.lagging = lagging
        answer = await call(app, 'PUT', f'{PUT}&wait=0.2', ROOT, {}, MATCH)
        expected = ['d-2'] if status == 202 else []
        assert answer[0] == status
        assert json.loads(answer[2])['lagging'] == expected


class TestChanges:
    async def test_vm_is_moved(self, app, daemon):
        await call(app, 'POST', '/-/vms/vm-1/move', ROOT, {'pool': 'desk'})
        request = daemon.requests[0]
        assert request.action is VmAction.MOVE
        assert (request.vm, request.pool) == ('vm-1', 'desk')
        assert request.operator == 'root'

    @pytest.mark.parametrize('action', ['pause', 'resume', 'stop'])
    async def test_wave_is_changed(self, app, daemon, action):
        status = await call(app, 'POST', f'/-/waves/{action}')
        assert status[0] == 200
        assert daemon.requests[0].action is WaveAction(action)

    async def test_wave_is_started(self, app, daemon):
        content = {'name': 'w2', 'due_days': 3}
        await call(app, 'POST', '/-/waves/start', ROOT, content)
        assert daemon.requests[0].due_days == 3

    async def test_job_is_cancelled_by_its_team(self, app):
        body = (await call(app, 'POST', '/-/jobs/j-1/cancel', SHOP))[2]
        assert json.loads(body)['state'] == 'cancelled'

    async def test_member_is_forgotten(self, app, daemon):
        await call(app, 'POST', '/-/members/d-2/forget')
        assert daemon.requests == [('d-2', 'root')]


class TestBadCalls:
    @pytest.mark.parametrize(
        ('method', 'path', 'content', 'status', 'detail'),
        [
            ('GET', 'nothing', None, 404, 'no call'),
            ('DELETE', 'vms', None, 400, 'no call'),
            ('GET', 'config/a%20b', None, 400, 'no name'),
            ('POST', 'vms/vm-1/burn', None, 400, 'none of'),
            ('POST', 'vms/vm-1/move', None, 400, 'pool'),
            ('POST', 'vms/vm-1/drain', {'pool': 'x'}, 400, 'pool'),
            ('POST', 'vms/vm-1/drain', {'reason': 1}, 400, 'reason'),
            ('POST', 'vms/vm-1/drain', [1], 400, 'object'),
            ('POST', 'vms/-/drain', None, 400, 'no name'),
            ('POST', 'waves/start', None, 400, 'name'),
            ('POST', 'waves/burn', None, 400, 'unknown'),
            ('POST', 'waves/stop', {'due_days': -1}, 400, 'days'),
            ('POST', 'waves/stop', {'due_days': True}, 400, 'days'),
            ('POST', 'waves/stop', [1], 400, 'object'),
            ('POST', 'vms/vm-1/drain', b'{', 400, 'not JSON'),
            ('POST', 'vms/vm-1/drain', b'{"a":1,"a":2}', 400, 'twice'),
            ('POST', 'vms/vm-1/drain', b'{"a":NaN}', 400, 'number'),
            ('POST', 'vms/vm-1/drain', b'[' * 10**5, 400, 'deeply'),
            ('POST', 'vms/vm-1/drain', b'\xff', 400, 'body'),
            ('PUT', 'config/shop', b' ' * (MAX_CALL_BYTES + 1), 413, 'over'),
            ('PUT', 'config/shop', {}, 400, 'If-Match'),
            ('PUT', 'config/shop?wait=-1', {}, 400, 'If-Match'),
        ],
    )
    async def test_refusal(
        self, app, daemon, method, path, content, status, detail
    ):
        path = path.replace('%20', ' ')
        answer = await call(app, method, f'/-/{path}', ROOT, content)
        assert answer[0] == status
        assert detail in json.loads(answer[2])['detail']
        assert not daemon.requests

    @pytest.mark.parametrize('wait', ['-1', 'x', 'nan', 'inf', '61'])
    async def test_bad_wait(self, app, wait):
        status, _, body = await call(
            app, 'PUT', f'{PUT}&wait={wait}', ROOT, {}, MATCH
        )
        assert (status, 'wait' in json.loads(body)['detail']) == (400, True)
