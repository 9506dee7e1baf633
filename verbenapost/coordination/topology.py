"""Choice of the peers that a member exchanges heartbeats with."""

from collections.abc import Iterable
from typing import final

import xxhash

#: Peers that a member asks in one round.
FANOUT = 3


@final
class Ring:
    """Members in order of the hash of their names.

    Explanation
    ===========

    In each round a member asks its successor, one member chosen by the hash
    of name and round, and one at a distance that runs through the whole ring.
    The first keeps the graph connected, the second spreads news in a number
    of rounds that grows with the logarithm of the members, and the third
    finds a way around any set of failed members.

    Examples
    ========

    >>> ring = Ring(['a', 'b', 'c', 'd', 'e'])
    >>> len(ring.pick_peers('a', 0)) <= FANOUT
    True
    >>> met = {name for turn in range(9) for name in ring.pick_peers('a', turn)}
    >>> sorted(met)
    ['b', 'c', 'd', 'e']

    :param names: names of the members.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self._names = tuple(
            sorted(names, key=lambda name: (_place(name), name)),
        )
        self._places = {name: place for place, name in enumerate(self._names)}

    def pick_peers(self, name: str, turn: int) -> tuple[str, ...]:
        """Return the peers to ask in a round.

        :param name: the asking member; it need not be in the ring.
        :param turn: number of the round.
        """
        size = len(self._names)
        if size == 0:
            return ()
        place = self._places.get(name, _place(name) % size)
        chosen = _place(f'{name} {turn}')
        offsets = (1, chosen, place + turn)
        peers = dict.fromkeys(
            self._names[(place + offset) % size] for offset in offsets
        )
        peers.pop(name, None)
        return tuple(peers)


def _place(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
