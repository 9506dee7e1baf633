"""Record transitions that result from the reports of tasks."""

from verbenapost.coordination.jobs import transitions
from verbenapost.protocol.tasks import TaskReport, TaskState


def choose_transition(
    vm: str,
    report: TaskReport,
    wall: float,
) -> transitions.Transition | None:
    """Return the transition for a report, or ``None`` while the task runs.

    :param vm: VM on which the task runs.
    :param report: report of the task.
    :param wall: Unix time in seconds.
    """
    attempt = report.attempt
    text = report.result
    match report.state:
        case TaskState.DONE:
            return transitions.make_finish(attempt, text, wall)
        case TaskState.FAILED:
            return transitions.make_failure(attempt, vm, text, wall)
        case TaskState.REJECTED:
            return transitions.make_rejection(attempt, text, wall)
        case TaskState.CHECKPOINTED:
            return transitions.make_checkpoint(attempt, report.progress)
        case TaskState.STOPPED:
            return transitions.make_requeue(attempt, 'It was stopped.')
    return None
