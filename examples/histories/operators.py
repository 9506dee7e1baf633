"""Concurrent operators, and a log of the revisions in force on daemons."""

import asyncio
import itertools
import random
import time
from typing import Any

import aiohttp

from examples.histories.balancer import Balancer
from examples.histories.records import ConfigChange, ConfigObservation
from examples.layout import OPERATOR_TOKEN

#: Seconds between two reads of the revision that a daemon has in force.
POLL_SECONDS = 0.25

#: Longest wait of an operator for an answer in seconds.
ANSWER_SECONDS = 8.0

#: Mean time between two changes of one operator in seconds.
PAUSE_SECONDS = 0.7

OPERATOR_HEADERS = {'Authorization': f'Bearer {OPERATOR_TOKEN}'}

#: Prefix of the audit reason, before the number of a change.
REASON_PREFIX = 'change-'


class Operators:
    """Several operators that change one team's document concurrently.

    :param balancer: chooses the daemons.
    :param team: team whose document is changed.
    :param rng: source of all random draws.
    """

    def __init__(
        self, balancer: Balancer, team: str, rng: random.Random
    ) -> None:
        self.changes: list[ConfigChange] = []
        self.observations: list[ConfigObservation] = []
        self._balancer = balancer
        self._team = team
        self._rng = rng
        self._numbers = itertools.count(1)

    async def change(self) -> None:
        """Change the document repeatedly until cancelled."""
        while True:
            await asyncio.sleep(PAUSE_SECONDS * 2 * self._rng.random())
            entry = self._balancer.pick()
            if entry is None:
                continue
            loaded = await self._load(self._balancer.urls[entry])
            if loaded is not None:
                # Two operators change the same revision at the same time.
                await asyncio.gather(self._put(loaded), self._put(loaded))

    async def watch(self, entry: str) -> None:
        """Log the revisions that one daemon has in force until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            observation = await self._observe(entry)
            if observation is not None:
                self.observations.append(observation)

    async def read_audit(self) -> tuple[int, ...]:
        """Return the numbers of the changes in the audit trail.

        :raises LookupError: when no daemon answers.
        """
        for entry in self._balancer.ready:
            url = self._balancer.urls[entry]
            path = f'{url}/-/config/{self._team}/history'
            answer_fields = await self._call('GET', path)
            if answer_fields is not None and answer_fields[0] == 200:
                return _read_numbers(answer_fields[1]['items'])
        raise LookupError('no daemon returned the audit trail')

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
            f'{url}/-/config/{self._team}?reason={REASON_PREFIX}{number}',
            {**loaded['document'], 'quotas': quotas},
            {'If-Match': f'"{base}"'},
        )
        self.changes.append(_make_change(number, base, answer))

    async def _call(
        self,
        method: str,
        url: str,
        content: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, dict[str, Any]] | None:
        try:
            async with (
                asyncio.timeout(ANSWER_SECONDS),
                self._balancer.session.request(
                    method,
                    url,
                    json=content,
                    headers={**OPERATOR_HEADERS, **(headers or {})},
                ) as response,
            ):
                return response.status, await response.json(content_type=None)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return None

    async def _observe(self, entry: str) -> ConfigObservation | None:
        asked_at = time.time()
        url = self._balancer.urls[entry]
        ready = await self._call('GET', f'{url}/-/ready')
        if ready is None or ready[0] != 200:
            return None
        teams = await self._call('GET', f'{url}/-/teams')
        if teams is None or teams[0] != 200:
            return None
        revisions = {row['team']: row['revision'] for row in teams[1]['items']}
        return ConfigObservation(entry, asked_at, revisions[self._team])


def _make_change(
    number: int,
    base: int,
    answer: tuple[int, dict[str, Any]] | None,
) -> ConfigChange:
    at = time.time()
    if answer is None:
        return ConfigChange(number, at, base, 0, 'unknown')
    status, answer_fields = answer
    if status in {200, 202}:
        return ConfigChange(
            number, at, base, answer_fields['revision'], 'accepted'
        )
    return ConfigChange(
        number, at, base, 0, answer_fields.get('outcome', 'unknown')
    )


def _read_numbers(items: list[dict[str, Any]]) -> tuple[int, ...]:
    reasons = [row['reason'] for row in items]
    return tuple(
        int(reason.removeprefix(REASON_PREFIX))
        for reason in reasons
        if reason.startswith(REASON_PREFIX)
    )
