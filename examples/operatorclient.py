"""Client for operators' calls to a daemon of a local site."""

import json
from typing import Any

import aiohttp

from examples.layout import OPERATOR_TOKEN


class OperatorError(RuntimeError):
    """A daemon refused an operator's call."""


class OperatorClient:
    """Client of the administration interface of one daemon.

    :param session: HTTP session of all calls.
    :param url: URL of the daemon.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url
        self._headers = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}

    async def get(self, path: str) -> Any:
        """Send a GET to a path below ``/-/``.

        :raises OperatorError: when the daemon refuses the call.
        """
        return await self._call('GET', path, {}, None)

    async def post(self, path: str, content: Any) -> Any:
        """Send a POST to a path below ``/-/``.

        :raises OperatorError: when the daemon refuses the call.
        """
        return await self._call('POST', path, {}, content)

    async def apply(self, team: str, document: Any, reason: str) -> Any:
        """Apply a document and wait up to 10 s for all members.

        :raises OperatorError: when the daemon refuses the call.
        """
        path = f'config/{team}?wait=10&reason={reason}'
        return await self._call('PUT', path, {'If-Match': '*'}, document)

    async def find_vm(self, name: str) -> dict[str, Any]:
        """Return the record of a VM."""
        answer = await self.get('vms')
        return next(row for row in answer['items'] if row['name'] == name)

    async def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        content: Any,
    ) -> Any:
        body = None if content is None else json.dumps(content)
        async with self._session.request(
            method,
            f'{self._url}/-/{path}',
            headers={**self._headers, **headers},
            data=body,
        ) as answer:
            if answer.status >= 400:
                raise OperatorError(await answer.text())
            return await answer.json()
