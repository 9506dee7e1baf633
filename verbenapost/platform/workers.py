"""Client of the workers' HTTP interface."""

from typing import Any, Final

from result import Err, Ok, Result

from verbenapost.platform import names
from verbenapost.platform.fields import (
    FieldError,
    Fields,
    check_text,
    read_count,
    read_number,
    read_rows,
)
from verbenapost.platform.http import Answer, Call, HttpClient
from verbenapost.platform.submissions import decode_task, encode_task
from verbenapost.protocol.orders import (
    CallFault,
    CallFaultKind,
    ListedRun,
    RunEnd,
    RunEndKind,
    RunStart,
    WorkerReport,
)
from verbenapost.state.workloads import TaskKey, WorkerEntry

#: Timeout of an order in seconds; after it the outcome counts as unknown.
ORDER_TIMEOUT: Final = 0.5

_MS = 1000
_CONFLICT = 409
_OTHER_INCARNATION = 421
_UNHEALTHY: Final = frozenset((429, 503))
_REASONS: Final = {
    'fence': CallFaultKind.FENCED,
    'old': CallFaultKind.OLD_RUN,
    'late': CallFaultKind.LATE,
    'room': CallFaultKind.NO_CAPACITY,
    'ticket': CallFaultKind.NO_TICKET,
}


class WorkerClient:
    """Client of the workers, with one method per call.

    :param http: HTTP client.
    """

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def start(
        self,
        worker: WorkerEntry,
        order: RunStart,
    ) -> Result[int, CallFault]:
        """Start a run.

        :param worker: worker to send the order to.
        :param order: the order.
        :returns: the worker's clock in milliseconds, or a fault.
        """
        body = _identify_run(order.task, order.run, order.token)
        body |= {'spec': order.payload, 'deadline_ms': order.deadline}
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        return await self._order_run(worker, names.START_PATH, body)

    async def stop(
        self,
        worker: WorkerEntry,
        task: TaskKey,
        run: int,
        token: int,
    ) -> Result[int, CallFault]:
        """Stop a run and prevent a late start of it.

        :returns: the worker's clock in milliseconds, or a fault.
        """
        body = _identify_run(task, run, token)
        return await self._order_run(worker, names.STOP_PATH, body)

    async def pace(
        self,
        worker: WorkerEntry,
        task: TaskKey,
        run: int,
        percent: int,
        token: int,
    ) -> Result[int, CallFault]:
        """Limit a run to a fraction of its full speed.

        :param percent: percentage of the full speed.
        :returns: the worker's clock in milliseconds, or a fault.
        """
        body = _identify_run(task, run, token) | {'percent': percent}
        return await self._order_run(worker, names.PACE_PATH, body)

    async def hold(
        self,
        worker: WorkerEntry,
        token: int,
        acknowledged: int,
        deadline: int | None,
        wait: float,
    ) -> Result[WorkerReport, CallFault]:
        """Renew the leases of all runs and return the worker's report.

        :param worker: worker to send the order to.
        :param token: fencing token of the sender.
        :param acknowledged: number of the last ended run that is stored.
        :param deadline: expiry of the leases on the worker's clock in
            milliseconds, or ``None`` to leave them as they are.
        :param wait: seconds that the worker may wait for an ended run.
        """
        body: dict[str, Any] = {
            'fencing_token': token,
            'last_seen': acknowledged,
            'wait_ms': round(wait * _MS),
        }
        if deadline is not None:
            body['deadline_ms'] = deadline
        answer = await self._order(worker, names.HOLD_PATH, body, wait)
        return answer.and_then(_read_report)

    async def _order_run(
        self, worker: WorkerEntry, path: str, body: Fields
    ) -> Result[int, CallFault]:
        answer = await self._order(worker, path, body)
        return answer.and_then(_read_clock)

    async def _order(
        self,
        worker: WorkerEntry,
        path: str,
        body: Fields,
        wait: float = 0,
    ) -> Result[Answer, CallFault]:
        call = Call(
            'POST',
            worker.address,
            path,
            body,
            {names.EXPECT_INSTANCE_HEADER: worker.worker},
            ORDER_TIMEOUT + wait,
        )
        answer = await self._http.exchange(call)
        return answer.and_then(_check_status)


def _identify_run(task: TaskKey, run: int, token: int) -> dict[str, Any]:
    return {'task': encode_task(task), 'run': run, 'fencing_token': token}


def _check_status(answer: Answer) -> Result[Answer, CallFault]:
    status = answer.status
    if answer.ok:
        return Ok(answer)
    reported_clock = _read_clock(answer).ok()
    if status == _CONFLICT:
        reason = answer.fields.get('reason')
        kind = _REASONS.get(str(reason), CallFaultKind.REFUSED)
        return Err(CallFault(kind, str(reason), reported_clock))
    if status == _OTHER_INCARNATION:
        return Err(
            CallFault(
                CallFaultKind.OTHER_INCARNATION, 'another incarnation answers'
            )
        )
    if status in _UNHEALTHY:
        return Err(
            CallFault(
                CallFaultKind.NOT_DONE, f'status {status}', reported_clock
            )
        )
    return Err(
        CallFault(CallFaultKind.REFUSED, f'status {status}', reported_clock)
    )


def _read_clock(answer: Answer) -> Result[int, CallFault]:
    try:
        return Ok(read_count(answer.fields, 'clock_ms'))
    except FieldError as fault:
        return Err(CallFault(CallFaultKind.UNKNOWN, str(fault)))


def _read_report(answer: Answer) -> Result[WorkerReport, CallFault]:
    fields = answer.fields
    try:
        return Ok(
            WorkerReport(
                clock=read_count(fields, 'clock_ms'),
                running=[
                    _read_running(row) for row in read_rows(fields, 'running')
                ],
                ends=[
                    _read_end(row) for row in read_rows(fields, 'ended_runs')
                ],
                started_at_ms=read_count(fields, 'born')
                if 'born' in fields
                else None,
            ),
        )
    except (ArithmeticError, LookupError, TypeError, ValueError) as fault:
        return Err(CallFault(CallFaultKind.UNKNOWN, f'invalid report: {fault}'))


def _read_running(row: Any) -> ListedRun:
    fields = dict(enumerate(row))
    return ListedRun(
        task=decode_task(fields[0]),
        run=_read_whole(fields[1]),
        checkpoint=check_text(fields.get(2) or '', 'checkpoint'),
        progress=_read_whole(fields.get(3, 100)),
        load=read_number({'load': fields.get(4) or 0}, 'load'),
    )


def _read_end(row: Any) -> RunEnd:
    fields = dict(enumerate(row))
    return RunEnd(
        number=_read_whole(fields[0]),
        task=decode_task(fields[1]),
        run=_read_whole(fields[2]),
        kind=RunEndKind(fields[3]),
        checkpoint=check_text(fields.get(4) or '', 'checkpoint'),
    )


def _read_whole(found: Any) -> int:
    return read_count({'number': int(found)}, 'number')
