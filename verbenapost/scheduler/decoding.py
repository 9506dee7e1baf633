"""Decoding of submitted jobs, of which a large one costs milliseconds."""

import dataclasses
import time

from result import Err, Ok, Result

from verbenapost.platform.fields import FieldError
from verbenapost.platform.submissions import decode_job
from verbenapost.scheduler.authentication import Caller
from verbenapost.scheduler.turns import LARGE_BODY_BYTES, PacedWork
from verbenapost.state.workloads import JobSpec, Route

Decoded = Result[JobSpec, FieldError]


class JobDecoder:
    """Decodes submissions, large ones in turn and with pauses."""

    def __init__(self) -> None:
        self._large_bodies = PacedWork()

    async def decode(
        self, name: str, route: Route, body: bytes, caller: Caller
    ) -> Decoded:
        """Return the job of a submission with the terms in force.

        :param name: identity of the job.
        :param route: route of the queue.
        :param body: body of the submission.
        :param caller: who submits it.
        """
        if len(body) <= LARGE_BODY_BYTES:
            return _decode_job(name, route, body, caller)
        async with self._large_bodies.begin():
            return _decode_job(name, route, body, caller)


def _decode_job(
    name: str, route: Route, body: bytes, caller: Caller
) -> Decoded:
    try:
        decoded = decode_job(name, route, body)
    except FieldError as refusal:
        return Err(refusal)
    return Ok(
        dataclasses.replace(
            decoded,
            submitted_at=time.time(),
            terms=route,
            tenant=caller.job_tenant,
        )
    )
