"""Tests of the table of error kinds."""

from verbenapost.protocol.errors import ANSWERS, ErrorKind, Failure, Outcome


class TestAnswers:
    def test_each_kind_has_an_answer(self):
        assert set(ANSWERS) == set(ErrorKind)

    def test_statuses_are_errors(self):
        assert all(400 <= row.status < 600 for row in ANSWERS.values())


class TestFailure:
    def test_known_outcome_overrides_the_kind(self):
        failure = Failure(
            ErrorKind.TARGET_FAILED,
            known_outcome=Outcome.NOT_RUN,
        )
        assert failure.outcome is Outcome.NOT_RUN

    def test_wait_defaults_to_the_kind(self):
        assert Failure(ErrorKind.OVERLOADED).wait == 1
