"""Claims of idempotency keys: client side and the shards owned here."""

import asyncio
import random
import time
import uuid
from collections.abc import Callable
from typing import Any, final

from result import Err, Ok, Result

from verbenapost.coordination.claims.client import ClaimClient
from verbenapost.coordination.claims.keys import (
    fingerprint_request,
    pick_shard,
)
from verbenapost.coordination.claims.owner import (
    ClaimOwner,
    ClaimPorts,
    ClaimSettings,
)
from verbenapost.daemon.logs import make_logger
from verbenapost.daemon.metrics import Metrics
from verbenapost.daemon.requestcontext import AnswerResult, RequestContext
from verbenapost.daemon.routing import MessageRouter
from verbenapost.daemon.timers import read_clock
from verbenapost.protocol.claims import (
    ClaimGranted,
    ClaimKey,
    ClaimRefused,
    ClaimRepeated,
    RecordOutcome,
)
from verbenapost.protocol.errors import ErrorKind, Failure, Outcome
from verbenapost.protocol.store import StorePort
from verbenapost.protocol.targets import TargetAnswer

#: Number of claim shards; each has its own ring in the store.
SHARD_COUNT = 1

#: Largest answer that is kept for repeats of its key, in bytes.
MAX_KEPT_BYTES = 4096

#: Requests of one service that may hold a slot while their claim is written.
MAX_PENDING_CLAIMS = 6

#: Seconds between checks whether a claim may start.
CLAIM_POLL_SECONDS = 0.005

Send = Callable[[str, Any], bool]
FindOwner = Callable[[str], str | None]


def find_shard(key: str) -> int:
    """Return the shard of an idempotency key.

    Examples
    ========

    >>> find_shard('017f22e2-79b0-7cc3-98c4-dc0c0c07398f')
    0
    """
    return pick_shard(uuid.UUID(key).bytes, SHARD_COUNT)


def make_role(shard: int) -> str:
    """Return the name of the role that owns a shard."""
    return f'claims/{shard}'


@final
class KeyClaimer:
    """Claims the idempotency keys of requests that enter at this daemon.

    :param send: sends a message to a member.
    :param find_owner: returns the owner of a role.
    :param metrics: metrics to update.
    """

    def __init__(
        self,
        send: Send,
        find_owner: FindOwner,
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._pending: dict[str, int] = {}
        self._grants: dict[str, ClaimGranted] = {}
        self._client = ClaimClient(
            lambda owner, message: _drop_result(send(owner, message)),
            lambda key: find_owner(make_role(find_shard(key))),
            read_clock,
            random.SystemRandom(),
        )

    def register_handlers(self, router: MessageRouter) -> None:
        """Register the handler of claim owners' answers."""
        router.register(ClaimGranted, ClaimRepeated, ClaimRefused)(
            lambda _sender, answer: self._client.receive(answer),
        )

    async def wait_for_capacity(self, context: RequestContext) -> None:
        """Wait while too many requests of the service have pending claims.

        When the store is slow, this leaves slots for requests without a claim.
        """
        service = context.request.service
        while self._pending.get(service, 0) >= MAX_PENDING_CLAIMS:
            if read_clock() >= context.deadline:
                return
            await asyncio.sleep(CLAIM_POLL_SECONDS)

    async def claim(
        self, context: RequestContext
    ) -> Result[TargetAnswer | None, Failure]:
        """Claim the key of a request.

        :returns: the stored answer when the request has already run, or
            ``None`` when the key was granted.
        """
        service = context.request.service
        self._pending[service] = self._pending.get(service, 0) + 1
        try:
            claimed = await self._client.claim(
                context.request.key,
                _make_fingerprint(context),
                max(0, context.deadline - read_clock()),
            )
        finally:
            self._pending[service] -= 1
        if isinstance(claimed, Err):
            self._metrics.claims.add(claimed.err_value.kind.value)
            return claimed
        answer = claimed.ok_value
        if isinstance(answer, ClaimRepeated):
            self._metrics.claims.add('repeated')
            return _repeat_answer(answer)
        self._metrics.claims.add('granted')
        self._grants[context.request_id] = answer
        return Ok(None)

    def record(self, context: RequestContext, outcome: AnswerResult) -> None:
        """Record the outcome of a claimed request."""
        granted = self._grants.pop(context.request_id, None)
        if granted is None:
            return
        if isinstance(outcome, Ok):
            answer = outcome.ok_value
            kept = len(answer.content) <= MAX_KEPT_BYTES
            self._client.finish(
                granted,
                answer.status,
                _find_content_type(answer),
                answer.content if kept else None,
            )
        elif outcome.err_value.outcome is Outcome.NOT_RUN:
            self._client.release(granted)

    def abandon(self, context: RequestContext) -> None:
        """Drop the claim with an unknown outcome, as after a disconnect."""
        self._grants.pop(context.request_id, None)


@final
class ClaimHost:
    """Runs a claim owner for each shard that this daemon owns.

    :param name: name of this daemon.
    :param incarnation: random identifier chosen at each process start.
    :param store: the platform's store.
    :param send: sends a message to a member.
    :param find_owner: returns the owner of a role.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        store: StorePort,
        send: Send,
        find_owner: FindOwner,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._find_owner = find_owner
        self._send = send
        self._ports = ClaimPorts(
            store=store,
            now=read_clock,
            wall_clock=time.time,
            post=lambda to, answer: _drop_result(send(to, answer)),
            rng=random.Random(incarnation),  # noqa: S311
        )
        self._owners: dict[int, ClaimOwner] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._log = make_logger('claims')

    @property
    def shard_count(self) -> int:
        """Number of shards that this daemon owns."""
        return len(self._owners)

    def register_handlers(self, router: MessageRouter) -> None:
        """Register the handler of the claim clients' messages."""
        router.register(ClaimKey, RecordOutcome)(self._handle_message)

    def reconcile(self) -> None:
        """Start owners of newly assigned shards and close all others."""
        for shard in range(SHARD_COUNT):
            owned = self._find_owner(make_role(shard)) == self._name
            if owned and shard not in self._owners:
                self._start_owner(shard)
            elif not owned and shard in self._owners:
                self.close(shard)

    def tick(self) -> None:
        """Refuse the claims whose deadline has passed."""
        now = read_clock()
        for owner in self._owners.values():
            owner.tick(now)

    def close(self, shard: int) -> None:
        """Stop the owner of a shard."""
        self._owners.pop(shard).close()
        self._tasks.pop(shard).cancel()
        self._log.info('shard ownership released', shard=shard)

    def close_all(self) -> None:
        """Stop the owners of all shards."""
        for shard in tuple(self._owners):
            self.close(shard)

    def _start_owner(self, shard: int) -> None:
        settings = ClaimSettings(shard=shard)
        owner = ClaimOwner(self._ports, self._incarnation, settings)
        self._owners[shard] = owner
        self._tasks[shard] = asyncio.create_task(owner.run())
        self._log.info('shard ownership acquired', shard=shard)

    def _handle_message(
        self, sender: str, message: ClaimKey | RecordOutcome
    ) -> None:
        owner = self._owners.get(find_shard(message.key))
        if owner is not None:
            owner.receive(sender, message)
        elif isinstance(message, ClaimKey):
            # The client retries, then possibly at the new owner.
            refusal = ClaimRefused(
                message.key,
                message.attempt,
                ErrorKind.NOT_READY.value,
                Outcome.NOT_RUN.value,
            )
            self._send(sender, refusal)


def _make_fingerprint(context: RequestContext) -> bytes:
    request = context.request
    return fingerprint_request(
        context.team,
        request.method,
        request.service,
        request.path,
        context.received.content,
    )


def _repeat_answer(
    repeated: ClaimRepeated,
) -> Result[TargetAnswer | None, Failure]:
    if repeated.body is None:
        detail = 'The request ran before; its answer is no longer held.'
        return Err(
            Failure(
                ErrorKind.ALREADY_CLAIMED,
                detail,
                known_outcome=Outcome.RAN,
            ),
        )
    headers = []
    if repeated.content_type:
        headers.append(('Content-Type', repeated.content_type))
    return Ok(TargetAnswer(repeated.status, headers, repeated.body))


def _find_content_type(answer: TargetAnswer) -> str:
    for name, text in answer.headers:
        if name.lower() == 'content-type':
            return text
    return ''


def _drop_result(_sent: bool) -> None:  # noqa: FBT001
    """Ignore whether a message was sent; the sender retries."""
