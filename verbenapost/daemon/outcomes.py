"""What the outcomes of attempts say of the target and of the request."""

import dataclasses

from result import Err, Ok

from verbenapost.daemon.requestcontext import (
    MAX_ATTEMPTS,
    AnswerResult,
    RequestContext,
)
from verbenapost.protocol.errors import ErrorKind, Failure, Outcome
from verbenapost.protocol.slots import RunOutcome
from verbenapost.protocol.targets import TargetAnswer

#: Lowest HTTP status that counts as a failure of the target.
FIRST_SERVER_ERROR = 500


def correct_outcome(
    context: RequestContext, outcome: AnswerResult
) -> AnswerResult:
    """Return the outcome of the last attempt, corrected for all attempts.

    If an earlier attempt may have run, the request must not be reported as
    not run.

    :param context: state of the request after its last attempt.
    :param outcome: outcome of the last attempt.
    """
    if isinstance(outcome, Ok) or not context.may_have_run:
        return outcome
    failure = outcome.err_value
    known = failure.outcome
    if _is_unable_to_run(context, failure):
        failure = Failure(ErrorKind.UNABLE_TO_RUN)
        known = Outcome.RAN if context.answered else Outcome.UNKNOWN
    if known is Outcome.NOT_RUN:
        known = Outcome.UNKNOWN
    return Err(dataclasses.replace(failure, known_outcome=known))


def is_server_error(outcome: Ok[TargetAnswer]) -> bool:
    """Return whether the target answered with an error of its own.

    Examples
    ========

    >>> is_server_error(Ok(TargetAnswer(503, [], b'')))
    True
    >>> is_server_error(Ok(TargetAnswer(404, [], b'')))
    False
    """
    return outcome.ok_value.status >= FIRST_SERVER_ERROR


def is_target_fault(outcome: Err[Failure]) -> bool:
    """Return whether another target may succeed where this one failed.

    Examples
    ========

    >>> is_target_fault(Err(Failure(ErrorKind.TARGET_REFUSED)))
    True
    >>> is_target_fault(Err(Failure(ErrorKind.DEADLINE_EXCEEDED)))
    False
    """
    return outcome.err_value.kind in {
        ErrorKind.TARGET_FAILED,
        ErrorKind.TARGET_REFUSED,
    }


def is_not_run(outcome: AnswerResult) -> bool:
    """Return whether an attempt is known not to have run.

    Examples
    ========

    >>> is_not_run(Err(Failure(ErrorKind.TARGET_REFUSED)))
    True
    >>> is_not_run(Err(Failure(ErrorKind.TARGET_FAILED)))
    False
    """
    if isinstance(outcome, Ok):
        return False
    return outcome.err_value.outcome is Outcome.NOT_RUN


def classify_run(outcome: AnswerResult) -> RunOutcome:
    """Return what the queue owner learns of a run in a slot.

    Examples
    ========

    >>> str(classify_run(Ok(TargetAnswer(404, [], b''))))
    'ok'
    >>> str(classify_run(Ok(TargetAnswer(503, [], b''))))
    'failed'
    >>> str(classify_run(Err(Failure(ErrorKind.TARGET_REFUSED))))
    'refused'
    """
    if isinstance(outcome, Ok):
        failed = is_server_error(outcome)
        return RunOutcome.FAILED if failed else RunOutcome.OK
    kind = outcome.err_value.kind
    if kind is ErrorKind.TARGET_REFUSED:
        return RunOutcome.REFUSED
    if kind is ErrorKind.TARGET_FAILED:
        return RunOutcome.FAILED
    return RunOutcome.CANCELLED


def _is_unable_to_run(context: RequestContext, failure: Failure) -> bool:
    """Return whether the request failed on as many targets as allowed."""
    if failure.kind is ErrorKind.UNABLE_TO_RUN:
        return True
    failed = failure.kind is ErrorKind.TARGET_FAILED
    return failed and len(set(context.avoid)) >= MAX_ATTEMPTS
