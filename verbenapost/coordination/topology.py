"""Selection of the peers that a member exchanges heartbeats with."""

from collections.abc import Iterable
from typing import final

import xxhash

#: Peers that a member contacts in one round, at most.
FANOUT = 3


@final
class PeerRing:
    """Members ordered by the hash of their names.

    Explanation
    ===========

    In each round a member contacts three peers: its successor, one selected
    by the hash of name and round, and one at a distance that runs through
    the whole ring. The first keeps the graph connected. The second spreads
    updates in a number of rounds logarithmic in the number of members. The
    third finds a path around any set of failed members.

    Examples
    ========

    >>> ring = PeerRing(['a', 'b', 'c', 'd', 'e'])
    >>> len(ring.pick_peers('a', 0)) <= FANOUT
    True
    >>> met = set()
    >>> for round_number in range(9):
    ...     met.update(ring.pick_peers('a', round_number))
    >>> sorted(met)
    ['b', 'c', 'd', 'e']

    :param names: names of the members.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self._names = tuple(
            sorted(names, key=lambda name: (_hash_name(name), name)),
        )
        self._positions = {
            name: position for position, name in enumerate(self._names)
        }

    def pick_peers(self, name: str, round_number: int) -> tuple[str, ...]:
        """Return the peers to contact in a round.

        :param name: the contacting member, which need not be in the ring.
        :param round_number: number of the round.
        """
        size = len(self._names)
        if size == 0:
            return ()
        position = self._positions.get(name, _hash_name(name) % size)
        hashed = _hash_name(f'{name} {round_number}')
        offsets = (1, hashed, position + round_number)
        peers = dict.fromkeys(
            self._names[(position + offset) % size] for offset in offsets
        )
        peers.pop(name, None)
        return tuple(peers)


def _hash_name(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())
