"""Tests of the command-line tool against an administration interface."""

import json
import socket
import threading

import pytest
import uvicorn

from verbenapost.cli.main import run_command
from verbenapost.daemon.tests.fakes import (
    READER,
    ROOT,
    FakeDaemon,
    make_app,
)
from verbenapost.protocol.admin import VmAction
from verbenapost.protocol.errors import ErrorKind, Failure


class AdminServer:
    """A fake daemon's administration interface on the loopback address."""

    def __init__(self):
        self.daemon = FakeDaemon()
        self.socket = socket.create_server(('127.0.0.1', 0))
        port = self.socket.getsockname()[1]
        self.url = f'http://127.0.0.1:{port}'
        config = uvicorn.Config(
            make_app(self.daemon), log_config=None, lifespan='off'
        )
        self.server = uvicorn.Server(config)
        self.thread = threading.Thread(
            target=self.server.run, args=([self.socket],)
        )

    def start(self):
        self.thread.start()

    def stop(self):
        self.server.should_exit = True
        self.thread.join()
        self.socket.close()


@pytest.fixture(scope='module')
def running_admin_server():
    admin_server = AdminServer()
    admin_server.start()
    yield admin_server
    admin_server.stop()


@pytest.fixture
def admin_server(running_admin_server, monkeypatch):
    running_admin_server.daemon.__init__()
    monkeypatch.setenv('VERBENAPOST_DAEMON', running_admin_server.url)
    monkeypatch.setenv('VERBENAPOST_TOKEN', ROOT)
    return running_admin_server


@pytest.fixture
def document(tmp_path):
    path = tmp_path / 'shop.json'
    content = {'team': 'shop', 'revision': 7, 'document': {'services': {}}}
    path.write_text(json.dumps(content))
    return path


class TestReading:
    @pytest.mark.parametrize(
        ('words', 'expected'),
        [
            ('status', 'data centre    dc-a'),
            ('teams list', 'shop           7  till'),
            ('pools list', 'counter     6           5'),
            ('services list', 'till   shop'),
            ('budgets list', 'MIN HEALTHY'),
            ('vms list', 'vm-1  counter  in_service'),
            ('waves status', 'vm-1  x'),
            ('waves plan', 'state         running'),
            ('jobs list', 'j-1  shop'),
            ('jobs show j-1', 'state         queued'),
            ('members list', 'd-2   127.0.0.1:2'),
            ('config get shop', '"revision": 7'),
            (
                'config history shop',
                '1  1970-01-01 00:00:10Z  kim: more slots\n    /services/',
            ),
        ],
    )
    def test_tables_and_json(self, admin_server, capsys, words, expected):
        assert run_command(words.split()) == 0
        assert expected in capsys.readouterr().out
        assert run_command([*words.split(), '--json']) == 0
        assert json.loads(capsys.readouterr().out)

    def test_no_command_shows_help(self, admin_server, capsys):
        assert run_command([]) == 0
        assert 'budgets' in capsys.readouterr().out
        assert run_command(['vms', '--help']) == 0


class TestChanges:
    @pytest.mark.parametrize(
        ('words', 'action'),
        [
            ('vms move vm-1 desk', VmAction.MOVE),
            ('vms drain 007 --reason 1.50', VmAction.DRAIN),
            ('vms back vm-1', VmAction.RETURN),
        ],
    )
    def test_vms(self, admin_server, words, action):
        assert run_command(words.split()) == 0
        request = admin_server.daemon.requests[0]
        assert request.action is action
        if action is VmAction.DRAIN:
            assert (request.vm, request.reason) == ('007', '1.50')

    @pytest.mark.parametrize(
        'words',
        [
            'waves start w2 --due-days 3',
            'waves pause',
            'waves resume',
            'waves stop --reason noise',
            'members forget d-2',
        ],
    )
    def test_waves_and_members(self, admin_server, words):
        assert run_command(words.split()) == 0
        assert len(admin_server.daemon.requests) == 1

    def test_job(self, admin_server, capsys):
        assert run_command(['jobs', 'cancel', 'j-1']) == 0
        assert 'cancelled' in capsys.readouterr().out

    def test_apply_what_get_printed(self, admin_server, tmp_path, capsys):
        run_command(['config', 'get', 'shop'])
        path = tmp_path / 'shop.json'
        path.write_text(capsys.readouterr().out)
        words = ['config', 'apply', str(path), '--reason', 'more', '--wait']
        assert run_command(words) == 0
        assert 'in force on all members' in capsys.readouterr().out
        request = admin_server.daemon.requests[0]
        assert (request.expected, request.reason) == (7, 'more')

    def test_late_members_are_named(self, admin_server, document, capsys):
        admin_server.daemon.lagging = [['d-2']] * 99
        words = ['config', 'apply', str(document), 'why', '--wait=0.1']
        assert run_command(words) == 4
        assert 'd-2' in capsys.readouterr().out


class TestFailures:
    @pytest.mark.parametrize(
        ('kind', 'code'),
        [
            (ErrorKind.NOT_FOUND, 1),
            (ErrorKind.CONFLICT, 1),
            (ErrorKind.STORE_UNAVAILABLE, 3),
            (ErrorKind.STORE_UNKNOWN, 4),
            (ErrorKind.INTERNAL, 4),
        ],
    )
    def test_exit_codes(self, admin_server, capsys, kind, code):
        admin_server.daemon.failure = Failure(kind, 'what happened')
        assert run_command(['vms', 'drain', 'vm-1']) == code
        lines = capsys.readouterr().err.splitlines()
        assert lines[0] == f'verbenapost: {kind}: what happened'
        assert lines[1].startswith('  ')

    def test_missing_right(self, admin_server, capsys):
        words = ['vms', 'drain', 'vm-1', '--token', READER]
        assert run_command(words) == 1
        assert 'use a token with the right' in capsys.readouterr().err

    def test_outdated_document(self, admin_server, document, capsys):
        admin_server.daemon.revision = 8
        assert run_command(['config', 'apply', str(document), 'why']) == 1
        assert 'read it again' in capsys.readouterr().err

    def test_unreachable(self, admin_server, capsys):
        with socket.create_server(('127.0.0.1', 0)) as closed:
            port = closed.getsockname()[1]
        words = ['status', f'--daemon=http://127.0.0.1:{port}']
        assert run_command(words) == 3
        assert 'name another daemon' in capsys.readouterr().err

    @pytest.mark.parametrize(
        ('answer', 'words', 'code'),
        [
            (b'', 'status', 3),
            (b'', 'vms drain vm-1', 4),
            (b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{', 'status', 3),
            (b'HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{', 'status', 3),
            (b'HTTP/1.1 404 No\r\ncontent-length: 2\r\n\r\nno', 'status', 1),
        ],
    )
    def test_broken_answers(self, admin_server, answer, words, code):
        with socket.create_server(('127.0.0.1', 0)) as listener:
            thread = threading.Thread(
                target=answer_once, args=(listener, answer)
            )
            thread.start()
            port = listener.getsockname()[1]
            url = f'--daemon=http://127.0.0.1:{port}'
            assert run_command([*words.split(), url]) == code
            thread.join()


class TestUsage:
    @pytest.mark.parametrize(
        'words',
        [
            'nothing',
            'vms burn vm-1',
            'vms drain',
            'vms drain vm-1 --raeson x',
            'vms drain vm-1 because it is hot',
            'waves stop now please',
            'waves start w2 --due-days soon',
            'config get',
            'config apply no-such-file why',
            'status --daemon',
            'status --daemon 127.0.0.1:80',
            'status --daemon=',
            'status --token=\x7f',
        ],
    )
    def test_usage_error_changes_nothing(self, admin_server, capsys, words):
        assert run_command(words.split(' ')) == 2
        assert 'verbenapost: ' in capsys.readouterr().err
        assert not admin_server.daemon.requests

    @pytest.mark.parametrize(
        'content',
        [
            '{',
            '[]',
            '{}',
            '{"team": "shop", "revision": 7}',
            '{"team": "shop", "revision": "7", "document": {}}',
            '{"team": "shop", "revision": true, "document": {}}',
            '{"team": "shop", "revision": 7, "document": []}',
            '{"team": "shop", "revision": 7, "document": {}, "x": 1}',
            '{"team": "a", "team": "b", "revision": 7, "document": {}}',
        ],
    )
    def test_bad_document_file(self, admin_server, document, capsys, content):
        document.write_text(content)
        assert run_command(['config', 'apply', str(document), 'why']) == 2
        assert 'config get TEAM' in capsys.readouterr().err

    def test_control_characters_are_not_printed(self, admin_server, capsys):
        admin_server.daemon.read_status = lambda: {'name': '\x1b[31mred'}
        assert run_command(['status']) == 0
        assert '\x1b' not in capsys.readouterr().out


def answer_once(listener, answer):
    connection = listener.accept()[0]
    # The HTTP client retries a GET on a new connection; that must be refused.
    listener.close()
    with connection:
        connection.recv(65536)
        connection.sendall(answer)
