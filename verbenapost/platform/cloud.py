"""Client of the cloud interface that moves and maintains VMs."""

from typing import Final
from urllib.parse import urlencode

from result import Err, Ok, Result

from verbenapost.platform import names
from verbenapost.platform.fields import (
    FieldError,
    Fields,
    read_rows,
)
from verbenapost.platform.http import Answer, Call, HttpClient
from verbenapost.platform.records import read_vm
from verbenapost.protocol.orders import CallFault, CallFaultKind
from verbenapost.state.workloads import FleetVm

#: Timeout of a call in seconds.
CLOUD_TIMEOUT: Final = 2.0

_BAD_REQUEST = 400
_CONFLICT = 409
_LIMITED = 429
_UNAVAILABLE = 503
_REASONS: Final = {'fence': CallFaultKind.FENCED, 'busy': CallFaultKind.BUSY}


class CloudClient:
    """Client of the cloud, with one method per call.

    :param http: HTTP client.
    :param address: ``IP:port`` of the cloud.
    :param holder: name of this daemon, sent with each order.
    """

    def __init__(self, http: HttpClient, address: str, holder: str) -> None:
        self._http = http
        self._address = address
        self._holder = holder

    async def list_vms(self) -> Result[list[FleetVm], CallFault]:
        """Return all VMs of the fleet, read page by page."""
        found: list[FleetVm] = []
        page = ''
        while True:
            query = f'?{urlencode({"page_token": page})}' if page else ''
            call = Call(
                'GET',
                self._address,
                f'{names.VMS_PATH}{query}',
                timeout=CLOUD_TIMEOUT,
            )
            answer = (await self._http.exchange(call)).and_then(_check_status)
            if isinstance(answer, Err):
                return answer
            fields = answer.ok_value.fields
            try:
                found.extend(map(read_vm, read_rows(fields, 'machines')))
            except FieldError as fault:
                return Err(CallFault(CallFaultKind.UNKNOWN, str(fault)))
            page = str(fields.get('next_token') or '')
            if not page:
                return Ok(found)

    async def move(
        self,
        vm: str,
        pool: str,
        token: int,
    ) -> Result[Answer, CallFault]:
        """Move a VM into another pool, which ends all its runs at once.

        :param vm: name of the VM.
        :param pool: name of the new pool.
        :param token: fencing token of the sender.
        """
        body = {'machine': vm, 'pool': pool}
        answer = await self._order(names.MOVE_PATH, body, token)
        return answer.and_then(_check_status)

    async def maintain(
        self,
        vm: str,
        wave: int,
        token: int,
    ) -> Result[Answer, CallFault]:
        """Begin a VM's maintenance, which ends all its runs at once.

        :param vm: name of the VM.
        :param wave: number of the maintenance wave.
        :param token: fencing token of the sender.
        :returns: the answer, or a fault; ``NOT_FOUND`` when there is no such
            VM.
        """
        body = {'machine': vm, 'wave': wave}
        answer = await self._order(names.MAINTAIN_PATH, body, token)
        return answer.and_then(_check_found).and_then(_check_status)

    async def _order(
        self,
        path: str,
        body: Fields,
        token: int,
    ) -> Result[Answer, CallFault]:
        headers = {
            names.HOLDER_HEADER: self._holder,
            names.TOKEN_HEADER: str(token),
        }
        call = Call('POST', self._address, path, body, headers, CLOUD_TIMEOUT)
        return await self._http.exchange(call)


def _check_found(answer: Answer) -> Result[Answer, CallFault]:
    """Return the fault of an order for a VM that doesn't exist."""
    if answer.status == _BAD_REQUEST:
        return Err(CallFault(CallFaultKind.NOT_FOUND, 'no such VM'))
    return Ok(answer)


def _check_status(answer: Answer) -> Result[Answer, CallFault]:
    if answer.ok:
        return Ok(answer)
    if answer.status == _LIMITED:
        return Err(
            CallFault(
                CallFaultKind.LIMITED, 'the rate limit of the cloud is exceeded'
            )
        )
    if answer.status == _UNAVAILABLE:
        return Err(
            CallFault(CallFaultKind.NOT_DONE, 'the cloud is unavailable')
        )
    reason = str(answer.fields.get('reason', f'status {answer.status}'))
    kind = CallFaultKind.REFUSED
    if answer.status == _CONFLICT:
        kind = _REASONS.get(reason, CallFaultKind.REFUSED)
    return Err(CallFault(kind, reason))
