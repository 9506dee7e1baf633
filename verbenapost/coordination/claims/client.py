"""Client of the claim owners, used by entries."""

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

#: Seconds between checks whether the owner of the key has changed.
OWNER_POLL_SECONDS = 0.1

#: Seconds without an answer after which the owner receives the message again.
RESEND_SECONDS = 1.0

#: Maximum abandoned attempts kept so that a late grant can be released.
MAX_ABANDONED_ATTEMPTS = 20_000

_ATTEMPT_BITS = 64

#: Refusals after which a pending write may still claim the key.
_UNDECIDED = frozenset(
    (ErrorKind.DEADLINE_EXCEEDED, ErrorKind.STORE_UNAVAILABLE)
)

Claimed = ClaimGranted | ClaimRepeated


class ClaimClient:
    """Claims keys for requests and reports the outcomes of the requests.

    Explanation
    ===========

    The first answer to an attempt decides. Without any answer the outcome is
    unknown: this attempt did not run, but an earlier attempt may have run.
    An abandoned attempt is never run: a grant that arrives late is released.
    After ``claim`` has returned a grant, call ``finish``, or ``release`` if
    no byte of the request was sent. If neither is certain, call nothing;
    repeats are then refused with an unknown outcome.

    :param send: sends a message to an owner.
    :param find_owner: returns the current owner of a key, or ``None``.
    :param now: clock that returns monotonic seconds.
    :param rng: random source for attempt numbers.
    """

    def __init__(
        self,
        send: Callable[[str, ClaimKey | RecordOutcome], None],
        find_owner: Callable[[str], str | None],
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._send = send
        self._find_owner = find_owner
        self._now = now
        self._rng = rng
        self._pending: dict[int, asyncio.Future[ClaimAnswer]] = {}
        self._abandoned: OrderedDict[int, None] = OrderedDict()

    async def claim(
        self, key: str, fingerprint: bytes, wait: float
    ) -> Result[Claimed, Failure]:
        """Claim a key for a single execution of a request.

        :param key: idempotency key.
        :param fingerprint: digest of the request.
        :param wait: seconds until the caller's deadline.
        :returns: a grant, or the stored response of an earlier execution.
        """
        attempt = self._rng.getrandbits(_ATTEMPT_BITS)
        claim_request = ClaimKey(key, attempt, fingerprint, wait)
        try:
            answer = await self._send_until_answered(claim_request)
        except asyncio.CancelledError:
            self._abandon(claim_request)
            raise
        finally:
            self._pending.pop(attempt, None)
        if isinstance(answer, Claimed):
            return Ok(answer)
        if answer is None or ErrorKind(answer.kind) in _UNDECIDED:
            self._abandon(claim_request)
        return Err(_make_failure(answer))

    def receive(self, answer: ClaimAnswer) -> None:
        """Handle an answer of an owner."""
        waiting = self._pending.get(answer.attempt)
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
        """Report the response of a request that was executed.

        :param granted: grant under which the request was executed.
        :param status: HTTP status.
        :param content_type: media type of the body.
        :param body: response body, ``None`` if too long to keep.
        """
        self._send_report(
            RecordOutcome(
                granted.key,
                granted.attempt,
                status=status,
                content_type=content_type,
                body=body,
            )
        )

    def release(self, granted: ClaimGranted) -> None:
        """Release a claim whose request was not and never will be executed."""
        self._abandoned[granted.attempt] = None
        if len(self._abandoned) > MAX_ABANDONED_ATTEMPTS:
            self._abandoned.popitem(last=False)
        released = RecordOutcome(granted.key, granted.attempt, released=True)
        self._send_report(released)

    async def _send_until_answered(
        self, claim_request: ClaimKey
    ) -> ClaimAnswer | None:
        deadline = self._now() + claim_request.wait
        contacted_owner: str | None = None
        resend_at = deadline
        while self._now() < deadline:
            remaining = deadline - self._now()
            owner = self._find_owner(claim_request.key)
            should_send = owner != contacted_owner or self._now() >= resend_at
            if owner is not None and should_send:
                self._send(
                    owner, dataclasses.replace(claim_request, wait=remaining)
                )
                contacted_owner = owner
                resend_at = self._now() + RESEND_SECONDS
            answer = await self._wait_for_answer(
                claim_request.attempt, min(remaining, OWNER_POLL_SECONDS)
            )
            if _is_not_ready(answer):
                contacted_owner = None
                await asyncio.sleep(min(remaining, OWNER_POLL_SECONDS))
            elif answer is not None:
                return answer
        return None

    async def _wait_for_answer(
        self, attempt: int, max_wait: float
    ) -> ClaimAnswer | None:
        waiting = asyncio.get_running_loop().create_future()
        self._pending[attempt] = waiting
        await asyncio.wait((waiting,), timeout=max_wait)
        return waiting.result() if waiting.done() else None

    def _abandon(self, claim_request: ClaimKey) -> None:
        self.release(ClaimGranted(claim_request.key, claim_request.attempt))

    def _release_late(self, answer: ClaimAnswer) -> None:
        if isinstance(answer, ClaimGranted):
            self.release(answer)

    def _send_report(self, report: RecordOutcome) -> None:
        owner = self._find_owner(report.key)
        if owner is not None:
            self._send(owner, report)


def _is_not_ready(answer: ClaimAnswer | None) -> bool:
    if not isinstance(answer, ClaimRefused):
        return False
    return answer.kind == ErrorKind.NOT_READY


def _make_failure(refusal: ClaimRefused | None) -> Failure:
    if refusal is None:
        detail = 'no claim owner answered in time'
        return Failure(
            ErrorKind.DEADLINE_EXCEEDED,
            detail,
            known_outcome=Outcome.UNKNOWN,
        )
    return refusal.failure
