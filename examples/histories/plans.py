"""Random plans of the requests that the load generator sends, from a seed."""

import dataclasses
import random
import uuid

from examples.sites import Site

#: Share of the keyed requests that are repeated with their key.
REPEAT_SHARE = 0.3

#: Share of the requests whose caller times out before they end.
SHORT_TIMEOUT_SHARE = 0.04

#: Longest delay of a repeat in seconds.
MAX_REPEAT_DELAY_SECONDS = 3.0

#: Upper bounds of a body and of an answer in bytes.
MAX_BODY_BYTES = 4096
MAX_ANSWER_BYTES = 20_000

#: Timeouts of callers in seconds.
CALLER_TIMEOUT_SECONDS = 5.0
SHORT_TIMEOUT_SECONDS = 0.3

_MILLISECONDS_PER_SECOND = 1000
_TIME_SHIFT = 80
_VERSION = 7 << 76
_VARIANT = 2 << 62
_PAYLOAD_MASK = (1 << 128) - 1 - (0xF << 76) - (3 << 62)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPlan:
    """One request with its repeats.

    :param tag: last segment of the path, which begins with the service.
    :param path: path on the daemon.
    :param key: idempotency key, empty for none.
    :param run_seconds: duration of the run on the target.
    :param caller_timeout: timeout of the caller in seconds.
    :param repeats: delay of each repeat in seconds.
    """

    tag: str
    service: str
    path: str
    key: str
    idempotent: bool
    body_bytes: int
    answer_bytes: int
    run_seconds: float
    caller_timeout: float
    urgency: int
    repeats: tuple[float, ...] = ()

    def make_headers(self) -> dict[str, str]:
        """Return the headers that the daemon and the target read."""
        headers = {
            'Priority': f'u={self.urgency}',
            'X-Request-Timeout': f'{self.caller_timeout:.3f}',
            'X-Run-Seconds': f'{self.run_seconds:.3f}',
            'X-Answer-Bytes': str(self.answer_bytes),
        }
        if self.key:
            headers['Idempotency-Key'] = self.key
        return headers


class Planner:
    """Draws random request plans.

    :param site: services and their routes.
    :param rng: source of all random draws.
    """

    def __init__(self, site: Site, rng: random.Random) -> None:
        self._rng = rng
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
        """Draw the next request.

        :param now: Unix seconds, which become the time of the key.
        """
        rng = self._rng
        self._count += 1
        service, path, idempotent = rng.choice(self._routes)
        tag = f'{service}.{self._count}'
        keyed = path != '/things'
        repeated = keyed and rng.random() < REPEAT_SHARE
        times_out = rng.random() < SHORT_TIMEOUT_SHARE
        return RequestPlan(
            tag=tag,
            service=service,
            path=f'/{service}{path}/{tag}',
            key=make_key(now, rng) if keyed else '',
            idempotent=idempotent,
            body_bytes=rng.randrange(MAX_BODY_BYTES),
            answer_bytes=rng.randrange(MAX_ANSWER_BYTES),
            run_seconds=1.0 if times_out else rng.choice((0, 0.01, 0.1)),
            caller_timeout=SHORT_TIMEOUT_SECONDS
            if times_out
            else CALLER_TIMEOUT_SECONDS,
            urgency=rng.randrange(8),
            repeats=self._draw_repeats() if repeated else (),
        )

    def _draw_repeats(self) -> tuple[float, ...]:
        count = self._rng.choice((1, 1, 2))
        return tuple(
            self._rng.choice((0, 0.01, MAX_REPEAT_DELAY_SECONDS))
            * self._rng.random()
            for _ in range(count)
        )


def make_key(now: float, rng: random.Random) -> str:
    """Return a UUID of version 7 from a seeded random source.

    Examples
    ========

    >>> uuid.UUID(make_key(1, random.Random(1))).version
    7
    """
    timestamp = int(now * _MILLISECONDS_PER_SECOND) << _TIME_SHIFT
    bits = (timestamp | rng.getrandbits(_TIME_SHIFT)) & _PAYLOAD_MASK
    return str(uuid.UUID(int=bits | _VERSION | _VARIANT))
