"""Fakes of the administration ports."""

import dataclasses
import hashlib
import json

from result import Err, Ok

from verbenapost.coordination.changes import AppliedChange
from verbenapost.coordination.rights import (
    OperatorRegistry,
    OperatorToken,
    Role,
)
from verbenapost.daemon.admin import AdminApp
from verbenapost.daemon.metrics import Metrics
from verbenapost.daemon.ports import AdminPorts
from verbenapost.protocol.admin import (
    BudgetStatus,
    DaemonStatus,
    DocumentStatus,
    JobStatus,
    MemberStatus,
    PoolStatus,
    ServiceStatus,
    TeamStatus,
    WaveStatus,
)
from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.state.audit import AuditEntry, DocumentChange
from verbenapost.state.vms import VmRecord

ROOT, READER, SHOP, OFFICE = 'root', 'reader', 'shop', 'office'


class FakeDaemon:
    """Implements every administration port in memory and records changes."""

    def __init__(self):
        self.ready = True
        self.lagging = []
        self.revision = 7
        self.document = {'services': {}}
        self.requests = []
        self.failure = None

    def answer(self, found):
        return Err(self.failure) if self.failure else Ok(found)

    def list_teams(self):
        return [TeamStatus('shop', 7, ('till',)), TeamStatus('office', 8)]

    async def load_document(self, team):
        return self.answer(DocumentStatus(team, self.revision, self.document))

    async def apply(self, request, rights):
        if request.expected not in {None, self.revision}:
            return Err(Failure(ErrorKind.CONFLICT, 'revision 7 is in force'))
        self.requests.append(request)
        self.revision += 1
        return self.answer(AppliedChange(request.team, self.revision, 3))

    async def load_history(self, team):
        change = DocumentChange('/services/booking/slots', '8', '9')
        return self.answer(
            (AuditEntry(1, 'kim', 'more slots', 10.5, 0, 'd:1', (change,)),)
        )

    def list_lagging(self, team, revision):
        return self.lagging.pop(0) if self.lagging else ()

    async def list_vms(self):
        return self.answer([VmRecord('vm-1', '127.0.0.1:1', 'counter')])

    async def change_vm(self, request):
        self.requests.append(request)
        return self.answer(VmRecord(request.vm, '127.0.0.1:1', 'counter'))

    async def list_pools(self):
        return self.answer([PoolStatus('counter', 6, 5, 0, 1, spare=False)])

    async def list_services(self):
        return self.answer(
            [
                ServiceStatus('till', 'shop', 'counter', 5, 40, 3, 0, 'd-1'),
                ServiceStatus('books', 'office', 'desk', 5, 40, 3, 0, 'd-2'),
            ]
        )

    async def list_budgets(self):
        return self.answer(
            [BudgetStatus('till', 'shop', 4, 5, 1, 0, 'rack', stopped=False)]
        )

    async def read_wave(self):
        return self.answer(WaveStatus('w1', 'running', waiting={'vm-1': 'x'}))

    async def change_wave(self, request):
        self.requests.append(request)
        return self.answer(WaveStatus(request.name, request.action))

    async def list_jobs(self):
        return self.answer([(await self.load_job('j-1')).unwrap()])

    async def load_job(self, job):
        return Ok(JobStatus(job, 'shop', 'counter', 'queued', 3, 0, '', 1.0))

    async def cancel_job(self, job, operator):
        found = (await self.load_job(job)).unwrap()
        return self.answer(dataclasses.replace(found, state='cancelled'))

    def read_status(self):
        reason = '' if self.ready else 'the view is not fresh'
        return DaemonStatus(
            'd-1', 'local', 'dc-a', '0', self.ready, reason, 7, 0.1, 6, (), 0
        )

    def list_members(self):
        return [MemberStatus('d-2', '127.0.0.1:2', 'dc-b', 'live', 7, 0.2)]

    async def forget_member(self, name, operator):
        self.requests.append((name, operator))
        return self.answer(None)


def make_app(daemon):
    tokens = [
        OperatorToken('root', digest(ROOT), '/', Role.WRITE),
        OperatorToken('reader', digest(READER), '/', Role.READ),
        OperatorToken('kim', digest(SHOP), '/teams/shop', Role.WRITE),
        OperatorToken('lam', digest(OFFICE), '/teams/office', Role.WRITE),
    ]
    ports = AdminPorts(daemon, daemon, daemon, daemon, daemon)
    return AdminApp(ports, OperatorRegistry(tokens), Metrics()).build()


def digest(token):
    return hashlib.sha256(token.encode()).hexdigest()


async def call(app, method, path, token=ROOT, content=None, headers=()):
    """Send one request to an ASGI application."""
    path, _, query = path.partition('?')
    lines = [*headers]
    if token:
        lines.append((b'authorization', f'Bearer {token}'.encode()))
    body = content if isinstance(content, bytes) else b''
    if content is not None and not body:
        body = json.dumps(content).encode()
    scope = {
        'type': 'http',
        'method': method,
        'path': path,
        'raw_path': path.encode(),
        'query_string': query.encode(),
        'headers': lines,
    }
    sent = []

    async def receive():
        return {'type': 'http.request', 'body': body, 'more_body': False}

    async def send(message):
        sent.append(message)

    await app(scope, receive, send)
    return (
        sent[0]['status'],
        dict(sent[0]['headers']),
        b''.join(message.get('body', b'') for message in sent[1:]),
    )
