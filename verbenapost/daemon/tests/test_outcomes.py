"""Tests of the outcomes reported to callers and queue owners."""

import itertools
import json

import pytest
from result import Err, Ok

from verbenapost.daemon.entryparts import EntryParts
from verbenapost.daemon.metrics import Metrics
from verbenapost.daemon.serving import EntryServer
from verbenapost.protocol.callers import ReceivedRequest
from verbenapost.protocol.errors import ErrorKind, Failure, Outcome
from verbenapost.protocol.slots import GrantSlot, RunOutcome
from verbenapost.protocol.targets import TargetAnswer
from verbenapost.state.configuration import ConfigurationView
from verbenapost.state.documents import ServiceSpec, TeamDocument

SUCCESS = Ok(TargetAnswer(200, [], b'{}'))
SERVER_ERROR = Ok(TargetAnswer(500, [], b'{}'))
TARGET_FAILURE = Err(Failure(ErrorKind.TARGET_FAILED))


class FakeSlotClient:
    """Grants every slot request and records the outcomes."""

    def __init__(self):
        self.run_outcomes = []
        self._numbers = itertools.count(1)

    async def acquire(self, slot_request):
        number = next(self._numbers)
        return Ok(
            GrantSlot(
                slot_request.slot_request_id, number, f'vm-{number}', '', 30
            )
        )

    def release(self, _slot_request_id, run_outcome, _run_time):
        self.run_outcomes.append(run_outcome)


class FakeClaimer:
    """Returns the stored answer of an earlier run, or ``None``."""

    def __init__(self, recorded):
        self._recorded = recorded

    async def wait_for_capacity(self, _context):
        """Return at once."""

    async def claim(self, _context):
        return Ok(self._recorded)

    def record(self, _context, _outcome):
        """Ignore the outcome."""


class FakeTargets:
    """Targets that return given outcomes, and the only team."""

    def __init__(self, results):
        self._results = iter(results)

    def find_team(self, _request):
        return Ok('portal')

    async def send(self, _request):
        return next(self._results)


def make_server(results, recorded=None):
    fake = FakeTargets(results)
    slot_client = FakeSlotClient()
    server = EntryServer(
        EntryParts(
            name='e-1',
            incarnation='s',
            slot_client=slot_client,
            targets=fake,
            teams=fake,
            claimer=FakeClaimer(recorded),
            metrics=Metrics(),
            clock=lambda: 0,
            is_leaving=lambda _target: False,
        )
    )
    document = TeamDocument(services={'booking': ServiceSpec('booking')})
    server.view = ConfigurationView(teams={'portal': document})
    return server, slot_client


async def send_request(server, method='GET', headers=()):
    answer = await server.serve(
        ReceivedRequest(method, '/booking/visits', list(headers), b'')
    )
    return answer.status, json.loads(answer.content)


class TestUnableToRun:
    @pytest.mark.parametrize(
        ('results', 'outcome'),
        [
            ([TARGET_FAILURE, TARGET_FAILURE, TARGET_FAILURE], Outcome.UNKNOWN),
            ([SERVER_ERROR, TARGET_FAILURE, TARGET_FAILURE], Outcome.RAN),
        ],
    )
    async def test_outcome_is_ran_only_after_an_answer(
        self,
        results,
        outcome,
    ):
        server, _slot_client = make_server(results)
        _status, problem = await send_request(server)
        assert problem['kind'] == 'unable_to_run'
        assert problem['outcome'] == outcome

    async def test_one_failed_target_is_retried(self):
        server, slot_client = make_server([TARGET_FAILURE, SUCCESS])
        status, _content = await send_request(server)
        assert status == 200
        assert slot_client.run_outcomes == [RunOutcome.FAILED, RunOutcome.OK]


class TestOutcomes:
    @pytest.mark.parametrize('status', [200, 500])
    async def test_a_recorded_answer_does_not_count_as_a_run(self, status):
        recorded = TargetAnswer(status, [], b'{}')
        server, slot_client = make_server([], recorded)
        key = ('idempotency-key', '01890a5d-ac96-774b-bcce-b302099a8057')
        await send_request(server, 'POST', [key])
        assert set(slot_client.run_outcomes) == {RunOutcome.CANCELLED}
