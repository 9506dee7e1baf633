"""Tests of problem details."""

import json

import pytest

from verbenapost.protocol.errors import ErrorKind, Failure, Outcome
from verbenapost.protocol.problems import PROBLEM_TYPE, make_problem


class TestMakeProblem:
    @pytest.mark.parametrize('kind', list(ErrorKind))
    def test_every_kind_has_a_complete_answer(self, kind):
        problem = make_problem(Failure(kind), 'r-1')
        members = json.loads(problem.body)
        assert members['kind'] == kind.value
        assert members['outcome'] in set(Outcome)
        assert members['status'] == problem.status
        assert members['detail'].endswith('.')
        assert problem.headers['content-type'] == PROBLEM_TYPE
        assert ('www-authenticate' in problem.headers) == (
            problem.status == 401
        )

    def test_failure_overrides_its_kind(self):
        failure = Failure(
            ErrorKind.OVERLOADED, 'queue full', Outcome.UNKNOWN, 2.2
        )
        problem = make_problem(failure)
        members = json.loads(problem.body)
        assert members['detail'] == 'queue full'
        assert members['outcome'] == 'unknown'
        assert problem.headers['retry-after'] == '3'
        assert 'request_id' not in members
