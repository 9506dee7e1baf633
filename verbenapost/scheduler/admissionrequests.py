"""What an entry tells the leader of a new job."""

from typing import Final

from verbenapost.scheduler.messages import AdmissionRequest
from verbenapost.state.workloads import JobSpec

_MILLI: Final = 1000


def make_admission_request(spec: JobSpec) -> AdmissionRequest:
    """Return the request whether a job may be accepted.

    :param spec: the job.
    """
    return AdmissionRequest(
        spec.job,
        spec.route,
        spec.service,
        _count_cores(spec),
        _count_steps(spec),
        _get_due_in(spec),
        '' if spec.tenant is None else spec.tenant.name,
    )


def _count_cores(spec: JobSpec) -> float:
    """Return the total cores of all tasks except long-running ones."""
    return sum(
        step.count * step.size.cpu / _MILLI
        for step in spec.steps
        if not step.long_running
    )


def _get_due_in(spec: JobSpec) -> float:
    """Return the seconds until the first occurrence is due."""
    if not spec.repetitions:
        return 0
    return max(0, spec.start_at - spec.submitted_at)


def _count_steps(spec: JobSpec) -> int:
    """Return the number of steps in the longest dependency chain."""
    depths: list[int] = []
    for step in spec.steps:
        before = (depths[number] for number in step.after)
        depths.append(1 + max(before, default=0))
    return max(depths)
