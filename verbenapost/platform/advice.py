"""Client of the service that knows which workers a queue's policy allows."""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Final, final

from result import Err, Ok, Result

from verbenapost.platform import names
from verbenapost.platform.fields import FieldError, read_number, read_rows
from verbenapost.platform.http import Answer, Call, HttpClient
from verbenapost.protocol.orders import CallFault, Fault
from verbenapost.state.workloads import TaskKey

#: Workers that one question may name, from the platform's pages.
MAX_WORKERS: Final = 100

#: Seconds that an answer may take beyond what the queue's terms say.
ADVICE_MARGIN: Final = 2.0

_MS = 1000
_LIMITED = 429


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """Workers that may run a step.

    :param tickets: ticket by identity of the worker.
    :param valid: seconds for which they hold.
    """

    tickets: Mapping[str, str]
    valid: float


class AdviceClient:
    """Asks for advice.

    :param http: keeps the connections.
    :param address: ``IP:port`` of the service.
    """

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address

    async def ask(
        self,
        task: TaskKey,
        workers: Sequence[str],
        expected: float,
    ) -> Result[Advice, CallFault]:
        """Return which workers may run a task's step.

        :param workers: identities, at most 100.
        :param expected: seconds that the answer should take.
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
        return Err(CallFault(Fault.LIMITED, 'too many questions wait'))
    if not answer.ok:
        return Err(CallFault(Fault.REFUSED, f'status {answer.status}'))
    try:
        rows = read_rows(answer.fields, 'good')
        tickets = {str(worker): str(ticket) for worker, ticket in rows}
        valid = read_number(answer.fields, 'valid_ms', 0) / _MS
    except (FieldError, TypeError, ValueError) as fault:
        return Err(CallFault(Fault.UNKNOWN, f'broken advice: {fault}'))
    return Ok(Advice(tickets, valid))
