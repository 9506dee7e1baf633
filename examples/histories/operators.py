"""Operators that race each other, and a log of what daemons have in force."""

import asyncio
import itertools
import random
import time
from typing import Any

import aiohttp

from examples.histories.balancer import Balancer
from examples.histories.records import ConfigChange, ConfigSeen
from examples.layout import OPERATOR_TOKEN

#: Seconds between two looks at what a daemon has in force.
LOOK_SECONDS = 0.25

#: Seconds that an operator waits for an answer.
PATIENCE = 8.0

#: Seconds between two changes of one operator.
PAUSE_SECONDS = 0.7

HEADERS = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}

#: Part of the audit reason that comes before the number of a change.
REASON = 'change-'


class Operators:
    """Several operators change one team's document at the same time.

    :param balancer: chooses daemons.
    :param team: team whose document is changed.
    :param chance: source of all chances.
    """

    def __init__(
        self, balancer: Balancer, team: str, chance: random.Random
    ) -> None:
        self.changes: list[ConfigChange] = []
        self.seen: list[ConfigSeen] = []
        self._balancer = balancer
        self._team = team
        self._chance = chance
        self._numbers = itertools.count(1)

    async def change(self) -> None:
        """Change the document again and again until cancelled."""
        while True:
            await asyncio.sleep(PAUSE_SECONDS * 2 * self._chance.random())
            entry = self._balancer.pick()
            if entry is None:
                continue
            loaded = await self._load(self._balancer.urls[entry])
            if loaded is not None:
                # Two operators who have read the same document.
                await asyncio.gather(self._put(loaded), self._put(loaded))

    async def watch(self, entry: str) -> None:
        """Log what one daemon has in force until cancelled."""
        while True:
            await asyncio.sleep(LOOK_SECONDS)
            seen = await self._look(entry)
            if seen is not None:
                self.seen.append(seen)

    async def read_audit(self) -> tuple[int, ...]:
        """Return the numbers of the changes in the audit trail.

        :raises LookupError: when no daemon answers.
        """
        for entry in self._balancer.ready:
            url = self._balancer.urls[entry]
            path = f'{url}/-/config/{self._team}/history'
            shown = await self._call('GET', path)
            if shown is not None and shown[0] == 200:
                return _read_numbers(shown[1]['items'])
        raise LookupError('no daemon shows the audit trail')

    async def _load(self, url: str) -> dict[str, Any] | None:
        answer = await self._call('GET', f'{url}/-/config/{self._team}')
        if answer is None or answer[0] != 200:
            return None
        return answer[1]

    async def _put(self, loaded: dict[str, Any]) -> None:
        entry = self._balancer.pick()
        if entry is None:
            return
        base = loaded['revision']
        number = next(self._numbers)
        quotas = {'probe': {'*': {'burst': number}}}
        url = self._balancer.urls[entry]
        answer = await self._call(
            'PUT',
            f'{url}/-/config/{self._team}?reason={REASON}{number}',
            {**loaded['document'], 'quotas': quotas},
            {'If-Match': f'"{base}"'},
        )
        self.changes.append(_record(number, base, answer))

    async def _call(
        self,
        method: str,
        url: str,
        content: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, dict[str, Any]] | None:
        try:
            async with (
                asyncio.timeout(PATIENCE),
                self._balancer.session.request(
                    method,
                    url,
                    json=content,
                    headers={**HEADERS, **(headers or {})},
                ) as response,
            ):
                return response.status, await response.json(content_type=None)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def _look(self, entry: str) -> ConfigSeen | None:
        asked_at = time.time()
        url = self._balancer.urls[entry]
        ready = await self._call('GET', f'{url}/-/ready')
        if ready is None or ready[0] != 200:
            return None
        teams = await self._call('GET', f'{url}/-/teams')
        if teams is None or teams[0] != 200:
            return None
        revisions = {row['team']: row['revision'] for row in teams[1]['items']}
        return ConfigSeen(entry, asked_at, revisions[self._team])


def _record(
    number: int,
    base: int,
    answer: tuple[int, dict[str, Any]] | None,
) -> ConfigChange:
    at = time.time()
    if answer is None:
        return ConfigChange(number, at, base, 0, 'unknown')
    status, shown = answer
    if status in {200, 202}:
        return ConfigChange(number, at, base, shown['revision'], 'accepted')
    return ConfigChange(number, at, base, 0, shown.get('outcome', 'unknown'))


def _read_numbers(items: list[dict[str, Any]]) -> tuple[int, ...]:
    reasons = [row['reason'] for row in items]
    return tuple(
        int(reason.removeprefix(REASON))
        for reason in reasons
        if reason.startswith(REASON)
    )
