"""Sends planned requests through the balancer and records what comes back."""

import asyncio
import itertools
import json
import time
from collections.abc import Callable
from typing import Any

import aiohttp

from examples.histories.balancer import Balancer
from examples.histories.plans import Planner, RequestPlan
from examples.histories.records import Answered, Content, Cut, Sent

#: Seconds past the caller's patience after which an answer is missed.
MARGIN_SECONDS = 10.0

#: Requests that wait for their answers at one time, at most.
MAX_OPEN = 400

#: Requests of one run, at most.
MAX_REQUESTS = 500_000

#: Seconds before another look for a ready daemon.
PAUSE_SECONDS = 0.05


class LoadGenerator:
    """Sends requests at a steady rate.

    :param balancer: chooses daemons.
    :param planner: draws the requests.
    :param rate: requests a second, without repeats.
    """

    def __init__(
        self, balancer: Balancer, planner: Planner, rate: float
    ) -> None:
        self.sent: list[Sent] = []
        self.answered: list[Answered] = []
        self.cuts: list[Cut] = []
        self.unsent = 0
        self._balancer = balancer
        self._planner = planner
        self._rate = rate
        self._numbers = itertools.count(1)
        self._open: set[asyncio.Task[None]] = set()

    async def run(self, over: Callable[[], bool]) -> None:
        """Send until it is over, then wait for the answers."""
        started = time.monotonic()
        for number in range(MAX_REQUESTS):
            due = started + number / self._rate
            await asyncio.sleep(max(0, due - time.monotonic()))
            if over():
                break
            if len(self._open) < MAX_OPEN:
                self._start(self._planner.draw(time.time()))
        while self._open:
            await asyncio.wait(self._open)

    def _start(self, plan: RequestPlan) -> None:
        for pause in (0, *plan.repeats):
            task = asyncio.create_task(self._send(plan, pause))
            self._open.add(task)
            task.add_done_callback(self._open.discard)

    async def _send(self, plan: RequestPlan, pause: float) -> None:
        await asyncio.sleep(pause)
        give_up = time.monotonic() + plan.patience
        while time.monotonic() < give_up:
            entry = self._balancer.pick()
            if entry is None:
                await asyncio.sleep(PAUSE_SECONDS)
            elif await self._try(plan, entry):
                return
        self.unsent += 1

    async def _try(self, plan: RequestPlan, entry: str) -> bool:
        """Send to one daemon; false when no connection was made."""
        sent = self._note(plan, entry)
        try:
            answer = await self._exchange(plan, sent)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            self._balancer.drop(entry)
            return False
        except (aiohttp.ClientError, OSError, TimeoutError) as fault:
            self.sent.append(sent)
            self.cuts.append(Cut(sent.number, time.time(), repr(fault)))
            return True
        self.sent.append(sent)
        self.answered.append(answer)
        return True

    def _note(self, plan: RequestPlan, entry: str) -> Sent:
        return Sent(
            number=next(self._numbers),
            at=time.time(),
            tag=plan.tag,
            key=plan.key,
            service=plan.service,
            entry=entry,
            idempotent=plan.idempotent,
            body_bytes=plan.body_bytes,
            answer_bytes=plan.answer_bytes,
            probed_at=self._balancer.probed.get(entry, 0),
        )

    async def _exchange(self, plan: RequestPlan, sent: Sent) -> Answered:
        async with (
            asyncio.timeout(plan.patience + MARGIN_SECONDS),
            self._balancer.session.post(
                f'{self._balancer.urls[sent.entry]}{plan.path}',
                data=bytes(plan.body_bytes),
                headers=plan.make_headers(),
            ) as response,
        ):
            text = await response.read()
            return read_answer(sent.number, response, text)


def read_answer(
    number: int,
    response: aiohttp.ClientResponse,
    text: bytes,
) -> Answered:
    """Return the record of a whole HTTP answer."""
    shown = _parse(text)
    request_id = response.headers.get('X-Request-Id', '')
    return Answered(
        number=number,
        at=time.time(),
        status=response.status,
        request_id=request_id or str(shown.get('request_id', '')),
        kind=str(shown.get('kind', '')),
        outcome=str(shown.get('outcome', '')),
        content=_read_content(shown, text) if 'target' in shown else None,
    )


def _parse(text: bytes) -> dict[str, Any]:
    try:
        shown = json.loads(text)
    except ValueError:
        return {}
    return shown if isinstance(shown, dict) else {}


def _read_content(shown: dict[str, Any], text: bytes) -> Content:
    return Content(
        tag=str(shown['path']).rpartition('/')[2],
        request_id=shown['request_id'],
        received=shown['received'],
        size=len(text),
        text_size=len(text.rstrip()),
    )
