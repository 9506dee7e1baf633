"""What a report of a task means for the record of its job."""

from verbenapost.coordination.jobs import steps
from verbenapost.protocol.tasks import TaskReport, TaskState


def choose_step(
    vm: str,
    report: TaskReport,
    wall: float,
) -> steps.Step | None:
    """Return the step that a report calls for, ``None`` while it runs.

    :param vm: VM that the report is from.
    :param wall: Unix time in seconds.
    """
    attempt = report.attempt
    text = report.result
    match report.state:
        case TaskState.DONE:
            return steps.make_finish(attempt, text, wall)
        case TaskState.FAILED:
            return steps.make_failure(attempt, vm, text, wall)
        case TaskState.REJECTED:
            return steps.make_rejection(attempt, text, wall)
        case TaskState.CHECKPOINTED:
            return steps.make_checkpoint(attempt, report.progress)
        case TaskState.STOPPED:
            return steps.make_requeue(attempt, 'It was stopped.')
    return None
