"""HTTP client of the platform's VM list and pool interface."""

from collections.abc import Iterable, Mapping, Sequence
from http import HTTPStatus
from typing import Any, final

import aiohttp
from result import Err, Ok, Result

from verbenapost.protocol.errors import ErrorKind, Failure
from verbenapost.protocol.platform import (
    ListedVm,
    ListedVmState,
    VmOperation,
    VmStatus,
)
from verbenapost.transport.answerlimits import DEFAULT_ANSWER_BYTES
from verbenapost.transport.jsonanswers import read_json_answer

#: Timeout of a call to the platform, in seconds.
CALL_TIMEOUT = 5.0

_LISTED_FIELDS = frozenset(ListedVm.__slots__)

_KIND_BY_STATUS: Mapping[int, ErrorKind] = {
    HTTPStatus.NOT_FOUND: ErrorKind.NOT_FOUND,
    HTTPStatus.CONFLICT: ErrorKind.CONFLICT,
    HTTPStatus.SERVICE_UNAVAILABLE: ErrorKind.STORE_UNAVAILABLE,
}


@final
class HttpPlatformClient:
    """Implementation of ``PlatformPort`` over HTTP and JSON.

    :param session: HTTP session of the daemon, closed by its owner.
    :param base_url: URL of the platform with an IP address as the host.
    :param timeout: timeout of a call, in seconds.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        timeout: float = CALL_TIMEOUT,
        answer_bytes: int = DEFAULT_ANSWER_BYTES,
    ) -> None:
        self._answer_bytes = answer_bytes
        self._session = session
        self._base_url = base_url.rstrip('/')
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        # The platform sends the list again only when its ETag has changed.
        self._cached_vms: Sequence[ListedVm] = ()
        self._cached_etag = ''

    async def list_vms(self) -> Result[Sequence[ListedVm], Failure]:
        """Read the VM list; the last entry of each name is used."""
        try:
            async with self._session.get(
                f'{self._base_url}/vms',
                headers={'If-None-Match': self._cached_etag},
                timeout=self._timeout,
            ) as response:
                return await self._read_list(response)
        except (aiohttp.ClientError, TimeoutError, ValueError) as fault:
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, str(fault)))

    async def inspect(self, name: str) -> Result[VmStatus, Failure]:
        """Read the state of a VM from the pool interface."""
        answer = await self._call('GET', f'/vms/{name}')
        return answer.and_then(_parse_status)

    async def drain(self, name: str, boot: int) -> Result[VmStatus, Failure]:
        """Start to drain a VM: it finishes its work and accepts no more.

        :param boot: boot count of the VM; refused when it differs.
        """
        answer = await self._call(
            'POST',
            f'/vms/{name}/drain',
            {'boot': boot},
        )
        return answer.and_then(_parse_status)

    async def reboot(
        self,
        name: str,
        boot: int,
        pool: str,
    ) -> Result[VmStatus, Failure]:
        """Reboot a drained VM into a pool.

        :param boot: boot count before the reboot; refused when it differs.
        :param pool: pool that the VM serves after the reboot.
        """
        answer = await self._call(
            'POST',
            f'/vms/{name}/reboot',
            {'boot': boot, 'pool': pool},
        )
        return answer.and_then(_parse_status)

    async def _read_list(
        self,
        response: aiohttp.ClientResponse,
    ) -> Result[Sequence[ListedVm], Failure]:
        if response.status == HTTPStatus.NOT_MODIFIED:
            return Ok(self._cached_vms)
        answer = await self._read_answer(response)
        vms = answer.and_then(_parse_list)
        if isinstance(vms, Ok):
            self._cached_vms = vms.ok_value
            self._cached_etag = response.headers.get('ETag', '')
        return vms

    async def _call(
        self,
        method: str,
        path: str,
        body: Mapping[str, Any] | None = None,
    ) -> Result[Any, Failure]:
        try:
            async with self._session.request(
                method,
                self._base_url + path,
                json=body,
                timeout=self._timeout,
            ) as response:
                return await self._read_answer(response)
        except aiohttp.ClientConnectorError as fault:
            return Err(Failure(ErrorKind.STORE_UNAVAILABLE, str(fault)))
        except (aiohttp.ClientError, TimeoutError, ValueError) as fault:
            return Err(Failure(ErrorKind.STORE_UNKNOWN, str(fault)))

    async def _read_answer(
        self,
        response: aiohttp.ClientResponse,
    ) -> Result[Any, Failure]:
        return await read_json_answer(
            response,
            _KIND_BY_STATUS,
            ErrorKind.STORE_UNKNOWN,
            self._answer_bytes,
        )


def _parse_list(answer: Any) -> Result[Sequence[ListedVm], Failure]:
    try:
        rows = [_parse_vm(row) for row in answer['vms']]
    except (KeyError, TypeError, ValueError) as fault:
        return Err(Failure(ErrorKind.INTERNAL, f'bad VM list: {fault!r}'))
    return Ok(_drop_duplicates(rows))


def _parse_vm(row: Mapping[str, Any]) -> ListedVm:
    fields = {
        name: value for name, value in row.items() if name in _LISTED_FIELDS
    }
    fields['state'] = ListedVmState(row.get('state', ListedVmState.LIVE))
    return ListedVm(**fields)


def _drop_duplicates(rows: Iterable[ListedVm]) -> list[ListedVm]:
    by_name = {row.name: row for row in rows}
    return list(by_name.values())


def _parse_status(answer: Any) -> Result[VmStatus, Failure]:
    try:
        status = VmStatus(
            name=answer['name'],
            operation=VmOperation(answer['state']),
            boot=answer['boot'],
            pool=answer.get('pool', ''),
        )
    except (KeyError, TypeError, ValueError) as fault:
        return Err(Failure(ErrorKind.INTERNAL, f'bad VM status: {fault!r}'))
    return Ok(status)
