"""Encoding and decoding of callers' jobs and answers."""

import json
import re
from typing import Any, Final

from verbenapost.platform.fields import (
    FieldError,
    Fields,
    read_count,
    read_flag,
    read_number,
    read_object,
    read_rows,
    read_text,
)
from verbenapost.protocol.strictjson import parse_json
from verbenapost.state.resources import Resources
from verbenapost.state.workloads import (
    CallerJobState,
    JobSpec,
    Route,
    StepSpec,
    TaskKey,
)

#: Longest payload of a job in bytes, from the platform's documentation.
MAX_PAYLOAD_BYTES: Final = 4000

#: Most tasks of one job, so that one submission can't exhaust the memory.
MAX_TASKS: Final = 10_000

#: Most steps of one job, for the same reason.
MAX_STEPS: Final = 200

#: Most objects in the body of a submission. A job has one and each step one;
#: a later version of the platform may bring some more.
MAX_OBJECTS: Final = 1000

#: Longest name of a label, image or rack, in characters.
MAX_NAME_CHARACTERS: Final = 200

_MS = 1000
_JOB_ID = re.compile(r'[0-9a-fA-F]{16}')
_TASK_PARTS = 4


def is_job_id(text: str) -> bool:
    """Return whether a text is a job identity, 16 hexadecimal digits.

    >>> is_job_id('5c0e7a21d94b36f8'), is_job_id('5c0e')
    (True, False)
    """
    return _JOB_ID.fullmatch(text) is not None


def decode_job(job: str, route: Route, body: bytes) -> JobSpec:
    """Return the job in the body of a submission.

    :param job: job identity from the path.
    :param route: route of the queue.
    :param body: body of the submission.
    :raises FieldError: when the body or a field is invalid.
    """
    try:
        fields = read_object(parse_json(body, MAX_OBJECTS), 'body')
    except FieldError:
        raise
    except ValueError as fault:
        raise FieldError('body', str(fault)) from fault
    payload = read_text(fields, 'spec', '')
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise FieldError('spec', f'must have at most {MAX_PAYLOAD_BYTES} bytes')
    rows = read_rows(fields, 'steps')
    if not rows or len(rows) > MAX_STEPS:
        raise FieldError('steps', f'must have 1 to {MAX_STEPS} entries')
    steps = tuple(
        _decode_step(read_object(row, f'steps.{number}'), number)
        for number, row in enumerate(rows)
    )
    spec = JobSpec(
        job=job,
        route=route.name,
        service=route.service,
        payload=payload,
        steps=steps,
        repetitions=read_count(fields, 'repetitions', 0),
        start_at=read_number(fields, 'start_at_ms', 0) / _MS,
        interval=read_number(fields, 'interval_ms', 0) / _MS,
    )
    _check_tasks(spec)
    return spec


def encode_state(state: CallerJobState) -> bytes:
    """Return the body of an answer with a job's state.

    >>> encode_state(CallerJobState.RUNNING)
    b'{"state":"running"}'
    """
    return _encode({'state': state.value})


def encode_pending(pending: int) -> bytes:
    """Return the body of an answer with a queue's number of pending jobs."""
    return _encode({'pending': pending})


def encode_refusal(reason: str) -> bytes:
    """Return the body of a refusal."""
    return _encode({'error': reason})


def encode_task(task: TaskKey) -> str:
    """Return the name of a task in the platform's format.

    >>> encode_task(TaskKey('5c0e7a21d94b36f8', 0, 1, 17))
    '5c0e7a21d94b36f8.0.1.17'
    """
    return f'{task.job}.{task.occurrence}.{task.step}.{task.index}'


def decode_task(text: Any) -> TaskKey:
    """Return the task that a name in the platform's format stands for.

    >>> decode_task('5c0e7a21d94b36f8.0.1.17').index
    17

    :raises FieldError: when the text is not a task name.
    """
    parts = text.split('.') if isinstance(text, str) else []
    if len(parts) != _TASK_PARTS or not all(map(_is_number, parts[1:])):
        raise FieldError('task', 'must have the form ID.K.STEP.INDEX')
    occurrence, step, index = map(int, parts[1:])
    return TaskKey(parts[0], occurrence, step, index)


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit()


def _decode_step(fields: Fields, number: int) -> StepSpec:
    after = tuple(read_rows(fields, 'after'))
    if len(after) > MAX_STEPS:
        raise FieldError(f'steps.{number}.after', 'must name earlier steps')
    for earlier in after:
        # Only earlier steps are allowed, which rules out cycles.
        if not _is_index(earlier) or earlier >= number:
            raise FieldError(f'steps.{number}.after', 'must name earlier steps')
    return StepSpec(
        count=read_count(fields, 'count'),
        size=Resources(
            read_count(fields, 'cpu', 0),
            read_count(fields, 'mem_mb', 0),
            read_count(fields, 'gpu', 0),
        ),
        estimate=read_number(fields, 'estimate_ms', 0) / _MS,
        after=after,
        checkpointing=read_flag(fields, 'checkpointing'),
        gang=read_flag(fields, 'gang'),
        same_rack=read_flag(fields, 'same_rack'),
        requires=_read_name(fields, 'requires'),
        affinity=_read_name(fields, 'affinity'),
        anti_affinity=read_count(fields, 'anti_affinity', 0),
        speculative=read_flag(fields, 'speculative'),
        long_running=read_flag(fields, 'long_running'),
        image=_read_name(fields, 'image'),
        target=read_number(fields, 'target_ms', 0) / _MS,
        fills=read_flag(fields, 'fills'),
        may_miss=read_count(fields, 'may_miss', 0),
    )


def _is_index(found: Any) -> bool:
    return isinstance(found, int) and not isinstance(found, bool) and found >= 0


def _read_name(fields: Fields, name: str) -> str:
    text = read_text(fields, name, '')
    if len(text) > MAX_NAME_CHARACTERS:
        raise FieldError(
            name, f'must have at most {MAX_NAME_CHARACTERS} characters'
        )
    return text


def _check_tasks(spec: JobSpec) -> None:
    tasks = sum(step.count for step in spec.steps)
    if not 0 < tasks * max(1, spec.repetitions) <= MAX_TASKS:
        raise FieldError('steps', f'must have 1 to {MAX_TASKS} tasks')


def _encode(fields: dict[str, Any]) -> bytes:
    return json.dumps(fields, separators=(',', ':')).encode()
