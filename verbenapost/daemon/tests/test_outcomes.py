"""Tests of what callers and queue owners are told of a request's end."""

import itertools
import json

import pytest
from result import Err, Ok

from verbenapost.daemon.metrics import Metrics
from verbenapost.daemon.serving import EntryParts, EntryServer
from verbenapost.protocol.callers import ReceivedRequest
from verbenapost.protocol.errors import ErrorKind, Failure, Outcome
from verbenapost.protocol.slots import GrantSlot, Verdict
from verbenapost.protocol.targets import TargetAnswer
from verbenapost.state.configuration import ConfigurationView
from verbenapost.state.documents import ServiceSpec, TeamDocument

WHOLE = Ok(TargetAnswer(200, [], b'{}'))
BROKEN = Ok(TargetAnswer(500, [], b'{}'))
CUT = Err(Failure(ErrorKind.TARGET_FAILED))


class Desk:
    """Grants every ask and notes the verdicts."""

    def __init__(self):
        self.verdicts = []
        self._numbers = itertools.count(1)

    async def acquire(self, ask):
        number = next(self._numbers)
        return Ok(GrantSlot(ask.ask_id, number, f'vm-{number}', '', 30))

    def release(self, _ask_id, verdict, _run_time):
        self.verdicts.append(verdict)


class Claimer:
    """Has the answer of an earlier run, or none."""

    def __init__(self, recorded):
        self._recorded = recorded

    async def wait_turn(self, _job):
        """Wait for nothing."""

    async def claim(self, _job):
        return Ok(self._recorded)

    def record(self, _job, _outcome):
        """Keep nothing."""


class Others:
    """The one team, and targets that end as they are told."""

    def __init__(self, ends):
        self._ends = iter(ends)

    def find_team(self, _request):
        return Ok('portal')

    async def send(self, _request):
        return next(self._ends)


def make_server(ends, recorded=None):
    others = Others(ends)
    desk = Desk()
    server = EntryServer(
        EntryParts(
            name='e-1',
            start='s',
            desk=desk,
            targets=others,
            teams=others,
            claimer=Claimer(recorded),
            metrics=Metrics(),
            clock=lambda: 0,
            is_leaving=lambda _target: False,
        )
    )
    document = TeamDocument(services={'booking': ServiceSpec('booking')})
    server.view = ConfigurationView(teams={'portal': document})
    return server, desk


async def ask(server, method='GET', headers=()):
    answer = await server.serve(
        ReceivedRequest(method, '/booking/visits', list(headers), b'')
    )
    return answer.status, json.loads(answer.content)


class TestUnableToRun:
    @pytest.mark.parametrize(
        ('ends', 'outcome'),
        [
            ([CUT, CUT, CUT], Outcome.UNKNOWN),
            ([BROKEN, CUT, CUT], Outcome.RAN),
        ],
    )
    async def test_it_says_that_it_ran_only_after_an_answer(
        self,
        ends,
        outcome,
    ):
        server, _desk = make_server(ends)
        _status, problem = await ask(server)
        assert problem['kind'] == 'unable_to_run'
        assert problem['outcome'] == outcome

    async def test_one_broken_target_leaves_the_request_runnable(self):
        server, desk = make_server([CUT, WHOLE])
        status, _content = await ask(server)
        assert status == 200
        assert desk.verdicts == [Verdict.FAILED, Verdict.OK]


class TestVerdicts:
    @pytest.mark.parametrize('status', [200, 500])
    async def test_a_recorded_answer_is_no_run_of_the_target(self, status):
        recorded = TargetAnswer(status, [], b'{}')
        server, desk = make_server([], recorded)
        key = ('idempotency-key', '01890a5d-ac96-774b-bcce-b302099a8057')
        await ask(server, 'POST', [key])
        assert set(desk.verdicts) == {Verdict.CANCELLED}
