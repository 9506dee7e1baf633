"""Addresses of the peers and the streams to them."""

import ipaddress
from typing import final

from verbenapost.coordination.register import MemberRegister
from verbenapost.transport.network import PeerNetwork

#: Seconds for which the address in a peer's latest message is kept.
SENDER_ADDRESS_SECONDS = 30.0

#: Highest TCP port.
MAX_PORT = 65_535

Address = tuple[str, int]


def split_address(address: str) -> Address | None:
    """Return IP number and port, or ``None`` for any other text.

    Examples
    ========

    >>> split_address('10.0.0.1:70'), split_address('[::1]:70')
    (('10.0.0.1', 70), ('::1', 70))
    >>> split_address('some-host:70') is None
    True
    """
    host, _, port = address.rpartition(':')
    host = host.strip('[]')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        return None
    return host, int(port)


def join_address(host: str, port: int) -> str:
    """Format an IP number and a port as ``IP:port``.

    Examples
    ========

    >>> join_address('10.0.0.1', 70), join_address('::1', 70)
    ('10.0.0.1:70', '[::1]:70')
    """
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'


@final
class PeerDirectory:
    """Maintains a stream to each member, seed and recent sender.

    Explanation
    ===========

    The address in a peer's latest message has priority over the address in
    the member set, because a process that starts during a store outage can't
    update the set. The member set has priority over the settings.

    :param network: streams to peers.
    :param seeds: addresses from the settings, by name.
    """

    def __init__(self, network: PeerNetwork, seeds: dict[str, Address]) -> None:
        self._network = network
        self._seeds = seeds
        self._recent_senders: dict[str, tuple[Address, float]] = {}
        self._known: dict[str, Address] = {}
        self._names: dict[Address, str] = {}

    def find_name(self, address: str) -> str | None:
        """Return the name of the peer at ``IP:port``."""
        parts = split_address(address)
        return None if parts is None else self._names.get(parts)

    def record_sender(self, name: str, address: str, now: float) -> None:
        """Record the address at which a peer expects answers."""
        parts = split_address(address)
        if parts is None:
            return
        self._recent_senders[name] = (parts, now)
        if self._known.get(name) != parts:
            self._connect(name, parts)

    def reconcile(self, register: MemberRegister, now: float) -> None:
        """Connect to new peers and disconnect from those that left."""
        self._recent_senders = {
            name: sender
            for name, sender in self._recent_senders.items()
            if now - sender[1] < SENDER_ADDRESS_SECONDS
        }
        addresses = self._list_addresses(register)
        for gone in self._known.keys() - addresses.keys():
            self._network.remove_peer(gone)
        self._known = {}
        self._names = {}
        for name, address in addresses.items():
            self._connect(name, address)

    def _list_addresses(self, register: MemberRegister) -> dict[str, Address]:
        addresses = dict(self._seeds)
        member_set = register.member_set
        joining = member_set.intent.target if member_set.intent else {}
        for name, record in {**member_set.members, **joining}.items():
            parts = split_address(record.address)
            if parts is not None:
                addresses[name] = parts
        for sender, (address, _) in self._recent_senders.items():
            addresses[sender] = address
        return addresses

    def _connect(self, name: str, address: Address) -> None:
        self._known[name] = address
        self._names[address] = name
        self._network.add_peer(name, address)
