"""Entry's side of a claim."""

import asyncio
import dataclasses
import random
from collections import OrderedDict
from collections.abc import Callable

from result import Err, Ok, Result

from verbenapost.protocol.claims import (
    ClaimAnswer,
    ClaimGranted,
    ClaimKey,
    ClaimRefused,
    ClaimRepeated,
    RecordOutcome,
)
from verbenapost.protocol.errors import ErrorKind, Failure, Outcome

#: Seconds between looks at whether another owner must be asked.
ASK_AGAIN = 0.1

#: Seconds without an answer after which the same owner is asked again.
RESEND_AFTER = 1.0

#: Abandoned attempts that are remembered to release a late grant.
MAX_ABANDONED = 20_000

_ATTEMPT_BITS = 64

#: Refusals after which a write may still put the claim into the ring.
_UNDECIDED = frozenset(
    (ErrorKind.DEADLINE_EXCEEDED, ErrorKind.STORE_UNAVAILABLE)
)

Claimed = ClaimGranted | ClaimRepeated


class ClaimClient:
    """Claims keys for requests and reports how they ended.

    Explanation
    ===========

    The first answer to an attempt decides. Without any answer the outcome is
    unknown: this attempt did not run, but an earlier one may have. An attempt
    that was given up is never run: a grant that comes late is released. After
    ``claim`` returned a grant, call either ``finish`` or, when no byte of the
    request went out, ``release``; when neither is certain, call nothing, and
    repeats are told that the outcome is not known.

    :param send: sends a message to an owner.
    :param find_owner: returns the present owner of a key, or ``None``.
    :param now: clock that returns monotonic seconds.
    :param chance: source of attempt numbers.
    """

    def __init__(
        self,
        send: Callable[[str, ClaimKey | RecordOutcome], None],
        find_owner: Callable[[str], str | None],
        now: Callable[[], float],
        chance: random.Random,
    ) -> None:
        self._send = send
        self._find_owner = find_owner
        self._now = now
        self._chance = chance
        self._open: dict[int, asyncio.Future[ClaimAnswer]] = {}
        self._abandoned: OrderedDict[int, None] = OrderedDict()

    async def claim(
        self, key: str, fingerprint: bytes, wait: float
    ) -> Result[Claimed, Failure]:
        """Claim a key for one run of a request.

        :param key: idempotency key.
        :param fingerprint: digest of the request.
        :param wait: seconds that the caller still waits.
        :returns: a grant, or the answer of the run before.
        """
        attempt = self._chance.getrandbits(_ATTEMPT_BITS)
        question = ClaimKey(key, attempt, fingerprint, wait)
        try:
            answer = await self._ask(question)
        except asyncio.CancelledError:
            self._abandon(question)
            raise
        finally:
            self._open.pop(attempt, None)
        if isinstance(answer, Claimed):
            return Ok(answer)
        if answer is None or ErrorKind(answer.kind) in _UNDECIDED:
            self._abandon(question)
        return Err(_explain(answer))

    def receive(self, answer: ClaimAnswer) -> None:
        """Take an answer of an owner."""
        waiting = self._open.get(answer.attempt)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)
        elif answer.attempt in self._abandoned:
            self._release_late(answer)

    def finish(
        self,
        granted: ClaimGranted,
        status: int,
        content_type: str = '',
        body: bytes | None = None,
    ) -> None:
        """Report the answer of a request that ran.

        :param granted: grant under which it ran.
        :param status: HTTP status.
        :param content_type: media type of the body.
        :param body: body, ``None`` when it is too long to keep.
        """
        self._tell(
            RecordOutcome(
                granted.key,
                granted.attempt,
                status=status,
                content_type=content_type,
                body=body,
            )
        )

    def release(self, granted: ClaimGranted) -> None:
        """Give back a claim whose request did not run and never will."""
        self._abandoned[granted.attempt] = None
        if len(self._abandoned) > MAX_ABANDONED:
            self._abandoned.popitem(last=False)
        released = RecordOutcome(granted.key, granted.attempt, released=True)
        self._tell(released)

    async def _ask(self, question: ClaimKey) -> ClaimAnswer | None:
        deadline = self._now() + question.wait
        asked: str | None = None
        again = deadline
        while self._now() < deadline:
            left = deadline - self._now()
            owner = self._find_owner(question.key)
            is_due = owner != asked or self._now() >= again
            if owner is not None and is_due:
                self._send(owner, dataclasses.replace(question, wait=left))
                asked = owner
                again = self._now() + RESEND_AFTER
            answer = await self._wait(question.attempt, min(left, ASK_AGAIN))
            if _is_not_ready(answer):
                asked = None
                await asyncio.sleep(min(left, ASK_AGAIN))
            elif answer is not None:
                return answer
        return None

    async def _wait(self, attempt: int, longest: float) -> ClaimAnswer | None:
        waiting = asyncio.get_running_loop().create_future()
        self._open[attempt] = waiting
        await asyncio.wait((waiting,), timeout=longest)
        return waiting.result() if waiting.done() else None

    def _abandon(self, question: ClaimKey) -> None:
        self.release(ClaimGranted(question.key, question.attempt))

    def _release_late(self, answer: ClaimAnswer) -> None:
        if isinstance(answer, ClaimGranted):
            self.release(answer)

    def _tell(self, told: RecordOutcome) -> None:
        owner = self._find_owner(told.key)
        if owner is not None:
            self._send(owner, told)


def _is_not_ready(answer: ClaimAnswer | None) -> bool:
    if not isinstance(answer, ClaimRefused):
        return False
    return answer.kind == ErrorKind.NOT_READY


def _explain(refusal: ClaimRefused | None) -> Failure:
    if refusal is None:
        detail = 'no claim owner answered in time'
        return Failure(
            ErrorKind.DEADLINE_EXCEEDED,
            detail,
            known_outcome=Outcome.UNKNOWN,
        )
    return refusal.failure
