"""Claims of keys: the entry's side and the shards that this daemon owns."""

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
from verbenapost.daemon.routing import MessageRouter
from verbenapost.daemon.serving import AnswerResult, Job
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

#: Claim shards; each has a ring of its own in the store.
SHARDS = 1

#: Bytes of an answer that are kept for repeats of its key.
MAX_KEPT_BYTES = 4096

#: Requests that may hold a slot of one service while their claim is written.
MAX_WAITING_CLAIMS = 6

#: Seconds between two looks at whether a claim may start.
GATE_POLL = 0.005

Send = Callable[[str, Any], bool]
OwnerOf = Callable[[str], str | None]


def find_shard(key: str) -> int:
    """Return the shard of an idempotency key.

    Examples
    ========

    >>> find_shard('017f22e2-79b0-7cc3-98c4-dc0c0c07398f')
    0
    """
    return pick_shard(uuid.UUID(key).bytes, SHARDS)


def make_role(shard: int) -> str:
    """Return the name of the role that owns a shard."""
    return f'claims/{shard}'


@final
class KeyClaimer:
    """Claims the keys of this entry's requests.

    :param send: sends to a member.
    :param owner_of: returns the owner of a role.
    :param metrics: counts.
    """

    def __init__(
        self,
        send: Send,
        owner_of: OwnerOf,
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._waiting: dict[str, int] = {}
        self._grants: dict[str, ClaimGranted] = {}
        self._client = ClaimClient(
            lambda owner, message: _drop_result(send(owner, message)),
            lambda key: owner_of(make_role(find_shard(key))),
            read_clock,
            random.SystemRandom(),
        )

    def register_routes(self, router: MessageRouter) -> None:
        """Take the answers of claim owners."""
        router.register(ClaimGranted, ClaimRepeated, ClaimRefused)(
            lambda _sender, answer: self._client.receive(answer),
        )

    async def wait_turn(self, job: Job) -> None:
        """Wait while too many slots of the service wait for their claims.

        A slow store then leaves slots to requests that need no claim.
        """
        service = job.request.service
        while self._waiting.get(service, 0) >= MAX_WAITING_CLAIMS:
            if read_clock() >= job.deadline:
                return
            await asyncio.sleep(GATE_POLL)

    async def claim(self, job: Job) -> Result[TargetAnswer | None, Failure]:
        """Claim the key; an answer when the request has run before."""
        service = job.request.service
        self._waiting[service] = self._waiting.get(service, 0) + 1
        try:
            claimed = await self._client.claim(
                job.request.key,
                _make_fingerprint(job),
                max(0, job.deadline - read_clock()),
            )
        finally:
            self._waiting[service] -= 1
        if isinstance(claimed, Err):
            self._metrics.claims.add(claimed.err_value.kind.value)
            return claimed
        answer = claimed.ok_value
        if isinstance(answer, ClaimRepeated):
            self._metrics.claims.add('repeated')
            return _repeat_answer(answer)
        self._metrics.claims.add('granted')
        self._grants[job.request_id] = answer
        return Ok(None)

    def record(self, job: Job, outcome: AnswerResult) -> None:
        """Record how the claimed request ended."""
        granted = self._grants.pop(job.request_id, None)
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

    def forget(self, job: Job) -> None:
        """Leave the outcome unknown, as when the caller went away."""
        self._grants.pop(job.request_id, None)


@final
class ClaimHost:
    """Runs the owners of the shards that this daemon owns.

    :param name: name of this daemon.
    :param start_id: random text made at each start of the process.
    :param store: the platform's store.
    :param send: sends to a member.
    :param owner_of: returns the owner of a role.
    """

    def __init__(
        self,
        name: str,
        start_id: str,
        store: StorePort,
        send: Send,
        owner_of: OwnerOf,
    ) -> None:
        self._name = name
        self._start_id = start_id
        self._owner_of = owner_of
        self._send = send
        self._ports = ClaimPorts(
            store=store,
            now=read_clock,
            wall=time.time,
            post=lambda to, answer: _drop_result(send(to, answer)),
            chance=random.Random(start_id),  # noqa: S311
        )
        self._owners: dict[int, ClaimOwner] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._log = make_logger('claims')

    @property
    def shards(self) -> int:
        """Number of shards owned here."""
        return len(self._owners)

    def register_routes(self, router: MessageRouter) -> None:
        """Take the messages of entries."""
        router.register(ClaimKey, RecordOutcome)(self._take)

    def settle(self) -> None:
        """Start the owners of new shards and close those of lost ones."""
        for shard in range(SHARDS):
            owned = self._owner_of(make_role(shard)) == self._name
            if owned and shard not in self._owners:
                self._open(shard)
            elif not owned and shard in self._owners:
                self.close(shard)

    def tick(self) -> None:
        """Refuse the claims whose callers' time is up."""
        now = read_clock()
        for owner in self._owners.values():
            owner.tick(now)

    def close(self, shard: int) -> None:
        """Give a shard up."""
        self._owners.pop(shard).close()
        self._tasks.pop(shard).cancel()
        self._log.info('shard given up', shard=shard)

    def close_all(self) -> None:
        """Give every shard up."""
        for shard in tuple(self._owners):
            self.close(shard)

    def _open(self, shard: int) -> None:
        settings = ClaimSettings(shard=shard)
        owner = ClaimOwner(self._ports, self._start_id, settings)
        self._owners[shard] = owner
        self._tasks[shard] = asyncio.create_task(owner.run())
        self._log.info('shard taken over', shard=shard)

    def _take(self, sender: str, message: ClaimKey | RecordOutcome) -> None:
        owner = self._owners.get(find_shard(message.key))
        if owner is not None:
            owner.receive(sender, message)
        elif isinstance(message, ClaimKey):
            # The entry asks again, by then perhaps the right member.
            refusal = ClaimRefused(
                message.key,
                message.attempt,
                ErrorKind.NOT_READY.value,
                Outcome.NOT_RUN.value,
            )
            self._send(sender, refusal)


def _make_fingerprint(job: Job) -> bytes:
    request = job.request
    return fingerprint_request(
        job.team,
        request.method,
        request.service,
        request.path,
        job.received.content,
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
    """Ignore whether a message was sent; the sender asks again."""
