"""Paths on which a daemon answers for itself."""

from typing import Protocol

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from verbenapost.daemon.metrics import Metrics

_NOT_READY = 503


class Probed(Protocol):
    """What the probes ask."""

    metrics: Metrics

    @property
    def ready(self) -> bool:
        """Whether new requests may come."""


def make_own_app(probed: Probed) -> Starlette:
    """Return the application for ``/-/``."""

    async def answer_live(_request: Request) -> Response:
        return PlainTextResponse('live\n')

    async def answer_ready(_request: Request) -> Response:
        if probed.ready:
            return PlainTextResponse('ready\n')
        return PlainTextResponse('not ready\n', _NOT_READY)

    async def answer_metrics(_request: Request) -> Response:
        content, headers = probed.metrics.render()
        return Response(content, headers=headers)

    return Starlette(
        routes=[
            Route('/-/live', answer_live),
            Route('/-/ready', answer_ready),
            Route('/-/metrics', answer_metrics),
        ],
    )
