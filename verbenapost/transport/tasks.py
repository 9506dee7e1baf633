"""HTTP client of the workers' task interface."""

import base64
import dataclasses
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, final

import aiohttp
from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.tasks import (
    TaskOrder,
    TaskReport,
    TaskReports,
    TaskState,
)
from verbenapost.transport.answerlimits import DEFAULT_ANSWER_BYTES
from verbenapost.transport.jsonanswers import read_json_answer

#: Timeout of a call, in seconds.
CALL_TIMEOUT = 2.0

_REPORT_FIELDS = frozenset(TaskReport.__slots__)

_KIND_BY_STATUS: Mapping[int, ErrorKind] = {
    HTTPStatus.NOT_FOUND: ErrorKind.NOT_FOUND,
    HTTPStatus.CONFLICT: ErrorKind.CONFLICT,
}


@final
class HttpTaskClient:
    """Implementation of ``TaskPort`` over HTTP and JSON.

    :param session: HTTP session of the daemon, closed by its owner.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        answer_bytes: int = DEFAULT_ANSWER_BYTES,
    ) -> None:
        self._answer_bytes = answer_bytes
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT)

    async def start(
        self,
        address: str,
        order: TaskOrder,
    ) -> Result[None, Failure]:
        """Start a task on the worker at an address."""
        body = dataclasses.asdict(order)
        body['id'] = body.pop('task')
        body['content'] = base64.b64encode(order.content).decode()
        return (await self._post(address, '', body)).map(_discard_body)

    async def renew(
        self,
        address: str,
        attempts: Mapping[str, int],
        lease: float,
    ) -> Result[TaskReports, Failure]:
        """Renew the leases of tasks and read the state of all tasks.

        :param attempts: attempt by task.
        :param lease: seconds from now.
        """
        body = {'attempts': dict(attempts), 'lease': lease}
        answer = await self._post(address, '/renew', body)
        return answer.and_then(_parse_report)

    async def checkpoint(
        self,
        address: str,
        task: str,
        attempt: int,
    ) -> Result[None, Failure]:
        """Have a task save its progress and end."""
        return await self._post_action(address, f'/{task}/checkpoint', attempt)

    async def throttle(
        self,
        address: str,
        task: str,
        attempt: int,
        share: float,
    ) -> Result[None, Failure]:
        """Limit a task to a share of its processors.

        :param share: fraction of the processors.
        """
        return await self._post_action(
            address,
            f'/{task}/throttle',
            attempt,
            share=share,
        )

    async def stop(
        self,
        address: str,
        task: str,
        attempt: int,
    ) -> Result[None, Failure]:
        """Stop and remove a task; its attempt is refused from then on."""
        return await self._post_action(address, f'/{task}/stop', attempt)

    async def _post_action(
        self,
        address: str,
        path: str,
        attempt: int,
        **extra: float,
    ) -> Result[None, Failure]:
        body = {'attempt': attempt, **extra}
        return (await self._post(address, path, body)).map(_discard_body)

    async def _post(
        self,
        address: str,
        path: str,
        body: Mapping[str, Any],
    ) -> Result[Any, Failure]:
        url = f'http://{address}/-/tasks{path}'
        try:
            async with self._session.post(
                url,
                json=body,
                timeout=self._timeout,
            ) as response:
                return await read_json_answer(
                    response,
                    _KIND_BY_STATUS,
                    ErrorKind.TARGET_FAILED,
                    self._answer_bytes,
                )
        except aiohttp.ClientConnectorError as connect_error:
            return Err(Failure(ErrorKind.TARGET_REFUSED, str(connect_error)))
        except (aiohttp.ClientError, TimeoutError, ValueError) as fault:
            return Err(Failure(ErrorKind.TARGET_FAILED, repr(fault)))


def _parse_report(answer: Any) -> Result[TaskReports, Failure]:
    try:
        return Ok(
            TaskReports(
                float(answer['cpu']),
                float(answer['memory']),
                tuple(_parse_task_report(row) for row in answer['tasks']),
            ),
        )
    except (KeyError, TypeError, ValueError) as fault:
        return Err(Failure(ErrorKind.TARGET_FAILED, f'bad report: {fault!r}'))


def _parse_task_report(row: Mapping[str, Any]) -> TaskReport:
    fields = {name: row[name] for name in row if name in _REPORT_FIELDS}
    fields['state'] = TaskState(row['state'])
    return TaskReport(**fields)


def _discard_body(_answer: Any) -> None:
    """Discard the body of an answer."""
