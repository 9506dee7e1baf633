"""Seeded plans of the requests that the load generator sends."""

import dataclasses
import random
import uuid

from examples.sites import Site

#: Share of keyed requests that are sent again with their key.
REPEAT_SHARE = 0.3

#: Share of requests whose caller stops waiting before they end.
IMPATIENT_SHARE = 0.04

#: Longest pause before a repeat, in seconds.
REPEAT_PAUSE = 3.0

#: Largest body and answer, in bytes.
MAX_BODY = 4096
MAX_ANSWER = 20_000

#: Seconds that callers wait.
PATIENCE = 5.0
SHORT_PATIENCE = 0.3

_MILLISECONDS = 1000
_TIME_SHIFT = 80
_VERSION = 7 << 76
_VARIANT = 2 << 62
_KEEP = (1 << 128) - 1 - (0xF << 76) - (3 << 62)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPlan:
    """One request with its repeats.

    :param tag: last segment of its path, with the service in it.
    :param path: path on the daemon.
    :param key: idempotency key, empty for none.
    :param run_seconds: how long the target works.
    :param patience: seconds that the caller waits.
    :param repeats: seconds after the first sending, one for each repeat.
    """

    tag: str
    service: str
    path: str
    key: str
    idempotent: bool
    body_bytes: int
    answer_bytes: int
    run_seconds: float
    patience: float
    urgency: int
    repeats: tuple[float, ...] = ()

    def make_headers(self) -> dict[str, str]:
        """Return the headers that the daemon and the target read."""
        headers = {
            'Priority': f'u={self.urgency}',
            'X-Request-Timeout': f'{self.patience:.3f}',
            'X-Run-Seconds': f'{self.run_seconds:.3f}',
            'X-Answer-Bytes': str(self.answer_bytes),
        }
        if self.key:
            headers['Idempotency-Key'] = self.key
        return headers


class Planner:
    """Draws request plans.

    :param site: services and their routes.
    :param chance: source of all chances.
    """

    def __init__(self, site: Site, chance: random.Random) -> None:
        self._chance = chance
        self._count = 0
        self._routes = [
            (service, rule['path'], rule['idempotent'])
            for service, rules in site.routes.items()
            for rule in rules
        ]
        self._routes += [
            (service, '/things', False) for service in site.services
        ]

    def draw(self, now: float) -> RequestPlan:
        """Return the next request.

        :param now: Unix seconds, the time in its key.
        """
        chance = self._chance
        self._count += 1
        service, path, idempotent = chance.choice(self._routes)
        tag = f'{service}.{self._count}'
        keyed = path != '/things'
        repeated = keyed and chance.random() < REPEAT_SHARE
        impatient = chance.random() < IMPATIENT_SHARE
        return RequestPlan(
            tag=tag,
            service=service,
            path=f'/{service}{path}/{tag}',
            key=make_key(now, chance) if keyed else '',
            idempotent=idempotent,
            body_bytes=chance.randrange(MAX_BODY),
            answer_bytes=chance.randrange(MAX_ANSWER),
            run_seconds=1.0 if impatient else chance.choice((0, 0.01, 0.1)),
            patience=SHORT_PATIENCE if impatient else PATIENCE,
            urgency=chance.randrange(8),
            repeats=self._draw_repeats() if repeated else (),
        )

    def _draw_repeats(self) -> tuple[float, ...]:
        count = self._chance.choice((1, 1, 2))
        return tuple(
            self._chance.choice((0, 0.01, REPEAT_PAUSE)) * self._chance.random()
            for _ in range(count)
        )


def make_key(now: float, chance: random.Random) -> str:
    """Return a UUID of version 7 from a seeded source.

    Examples
    ========

    >>> uuid.UUID(make_key(1, random.Random(1))).version
    7
    """
    moment = int(now * _MILLISECONDS) << _TIME_SHIFT
    bits = (moment | chance.getrandbits(_TIME_SHIFT)) & _KEEP
    return str(uuid.UUID(int=bits | _VERSION | _VARIANT))
