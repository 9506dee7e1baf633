"""Sends planned requests through the balancer and records the answers."""

import asyncio
import itertools
import json
import time
from collections.abc import Callable
from typing import Any

import aiohttp

from examples.histories.balancer import Balancer
from examples.histories.plans import Planner, RequestPlan
from examples.histories.records import (
    AnswerContent,
    Disconnect,
    ReceivedAnswer,
    SentRequest,
)

#: Seconds after the caller's timeout before an answer counts as missing.
ANSWER_MARGIN_SECONDS = 10.0

#: Largest number of requests that wait for their answers.
MAX_OPEN_REQUESTS = 400

#: Largest number of requests of one run.
MAX_REQUESTS = 500_000

#: Seconds between two searches for a ready daemon.
PAUSE_SECONDS = 0.05


class LoadGenerator:
    """Sends requests at a steady rate.

    :param balancer: chooses the daemons.
    :param planner: draws the requests.
    :param rate: requests per second, without repeats.
    """

    def __init__(
        self, balancer: Balancer, planner: Planner, rate: float
    ) -> None:
        self.sent: list[SentRequest] = []
        self.answered: list[ReceivedAnswer] = []
        self.disconnects: list[Disconnect] = []
        self.unsent = 0
        self._balancer = balancer
        self._planner = planner
        self._rate = rate
        self._numbers = itertools.count(1)
        self._open_requests: set[asyncio.Task[None]] = set()

    async def run(self, is_over: Callable[[], bool]) -> None:
        """Send requests until the load ends, then wait for the answers.

        :param is_over: returns whether the load ends.
        """
        started = time.monotonic()
        for number in range(MAX_REQUESTS):
            due_at = started + number / self._rate
            await asyncio.sleep(max(0, due_at - time.monotonic()))
            if is_over():
                break
            if len(self._open_requests) < MAX_OPEN_REQUESTS:
                self._start(self._planner.draw(time.time()))
        while self._open_requests:
            await asyncio.wait(self._open_requests)

    def _start(self, plan: RequestPlan) -> None:
        for delay in (0, *plan.repeats):
            task = asyncio.create_task(self._send(plan, delay))
            self._open_requests.add(task)
            task.add_done_callback(self._open_requests.discard)

    async def _send(self, plan: RequestPlan, delay: float) -> None:
        await asyncio.sleep(delay)
        deadline = time.monotonic() + plan.caller_timeout
        while time.monotonic() < deadline:
            entry = self._balancer.pick()
            if entry is None:
                await asyncio.sleep(PAUSE_SECONDS)
            elif await self._send_to(plan, entry):
                return
        self.unsent += 1

    async def _send_to(self, plan: RequestPlan, entry: str) -> bool:
        """Send a request to one daemon.

        :returns: false when no connection was made.
        """
        sent = self._make_record(plan, entry)
        try:
            answer = await self._exchange(plan, sent)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            self._balancer.drop(entry)
            return False
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.sent.append(sent)
            self.disconnects.append(
                Disconnect(sent.number, time.time(), repr(error))
            )
            return True
        self.sent.append(sent)
        self.answered.append(answer)
        return True

    def _make_record(self, plan: RequestPlan, entry: str) -> SentRequest:
        return SentRequest(
            number=next(self._numbers),
            at=time.time(),
            tag=plan.tag,
            key=plan.key,
            service=plan.service,
            entry=entry,
            idempotent=plan.idempotent,
            body_bytes=plan.body_bytes,
            answer_bytes=plan.answer_bytes,
            probed_at=self._balancer.probe_starts.get(entry, 0),
        )

    async def _exchange(
        self, plan: RequestPlan, sent: SentRequest
    ) -> ReceivedAnswer:
        async with (
            asyncio.timeout(plan.caller_timeout + ANSWER_MARGIN_SECONDS),
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
) -> ReceivedAnswer:
    """Return the record of a complete HTTP answer."""
    fields = _parse(text)
    request_id = response.headers.get('X-Request-Id', '')
    return ReceivedAnswer(
        number=number,
        at=time.time(),
        status=response.status,
        request_id=request_id or str(fields.get('request_id', '')),
        kind=str(fields.get('kind', '')),
        outcome=str(fields.get('outcome', '')),
        content=_read_content(fields, text) if 'target' in fields else None,
    )


def _parse(text: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(text)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}


def _read_content(fields: dict[str, Any], text: bytes) -> AnswerContent:
    return AnswerContent(
        tag=str(fields['path']).rpartition('/')[2],
        request_id=fields['request_id'],
        received=fields['received'],
        size=len(text),
        text_size=len(text.rstrip()),
    )
