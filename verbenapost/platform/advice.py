"""Client of the policy service, which tells where a step may run."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Final, final

from result import Err, Ok, Result

from verbenapost.platform import names
from verbenapost.platform.fields import FieldError, read_number, read_rows
from verbenapost.platform.http import Answer, Call, HttpClient
from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.state.workloads import TaskKey

#: Workers that one request may name, from the platform's documentation.
MAX_WORKERS: Final = 100

#: Seconds that an answer may take beyond the expected response time.
ADVICE_MARGIN: Final = 2.0

_MS = 1000
_LIMITED = 429


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """The workers that may run a step.

    :param tickets: tickets by worker identity.
    :param valid: seconds for which the tickets are valid; 0 when not given.
    """

    tickets: Mapping[str, str]
    valid: float


class AdviceClient:
    """Client of the policy service.

    :param http: HTTP client.
    :param address: ``IP:port`` of the service.
    """

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    async def request_advice(
        self,
        task: TaskKey,
        workers: Sequence[str],
        expected: float,
    ) -> Result[Advice, CallFault]:
        """Return which workers may run a task's step.

        :param task: a task of the step.
        :param workers: worker identities; only the first 100 are sent.
        :param expected: expected response time in seconds.
        """
        body = {
            'step': f'{task.job}.{task.occurrence}.{task.step}',
            'workers': list(workers[:MAX_WORKERS]),
        }
        call = Call(
            'POST',
            self._address,
            names.ADVISE_PATH,
            body,
            timeout=expected + ADVICE_MARGIN,
        )
        return (await self._http.exchange(call)).and_then(_read_advice)


def _read_advice(answer: Answer) -> Result[Advice, CallFault]:
    if answer.status == _LIMITED:
        return Err(
            CallFault(CallFaultKind.LIMITED, 'too many requests are pending')
        )
    if not answer.ok:
        return Err(CallFault(CallFaultKind.REFUSED, f'status {answer.status}'))
    try:
        rows = read_rows(answer.fields, 'good')
        tickets = {str(worker): str(ticket) for worker, ticket in rows}
        valid = read_number(answer.fields, 'valid_ms', 0) / _MS
    except (FieldError, TypeError, ValueError) as fault:
        return Err(CallFault(CallFaultKind.UNKNOWN, f'invalid advice: {fault}'))
    return Ok(Advice(tickets, valid))
