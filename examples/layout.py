"""Addresses and settings files of a local site."""

import dataclasses
import hashlib
import json
from pathlib import Path
from typing import Any

from examples.ports import LOOPBACK, find_free_ports
from examples.sites import SERVICE_VMS, Site, make_vms

#: Number of daemons of a site.
DAEMON_COUNT = 6

#: Token of the operator of a local site; the settings hold its digest.
OPERATOR_TOKEN = 'local-operator-token'  # noqa: S105

#: Key that the daemons of a local site share.
PEER_KEY = 'local-site-peer-key'


@dataclasses.dataclass(frozen=True)
class Layout:
    """Addresses of all processes of a site.

    :param store_port: port of the store's stand-in.
    :param vm_list_port: port of the VM list's stand-in.
    :param http_ports: port for callers, by daemon.
    :param peer_ports: port for peers, by daemon.
    :param data_centres: data centre, by daemon.
    :param vms: rows of the VM list, with the initial pools.
    """

    site: Site
    store_port: int
    vm_list_port: int
    http_ports: dict[str, int]
    peer_ports: dict[str, int]
    data_centres: dict[str, str]
    vms: list[dict[str, Any]]

    @property
    def store_url(self) -> str:
        """URL of the store."""
        return f'http://{LOOPBACK}:{self.store_port}'

    @property
    def vm_list_url(self) -> str:
        """URL of the VM list."""
        return f'http://{LOOPBACK}:{self.vm_list_port}'

    def find_url(self, daemon: str) -> str:
        """Return the URL of a daemon for callers."""
        return f'http://{LOOPBACK}:{self.http_ports[daemon]}'


def plan_layout(site: Site, daemons: int = DAEMON_COUNT) -> Layout:
    """Choose the names and free ports of a site's processes."""
    names = [f'entry-{number + 1}' for number in range(daemons)]
    workers = SERVICE_VMS * len(site.services)
    ports = find_free_ports(2 + 2 * daemons + workers)
    http_ports = ports[2 : 2 + daemons]
    peer_ports = ports[2 + daemons : 2 + 2 * daemons]
    centres = site.data_centres
    return Layout(
        site=site,
        store_port=ports[0],
        vm_list_port=ports[1],
        http_ports=dict(zip(names, http_ports, strict=True)),
        peer_ports=dict(zip(names, peer_ports, strict=True)),
        data_centres={
            name: centres[number % len(centres)]
            for number, name in enumerate(names)
        },
        vms=make_vms(site, ports[2 + 2 * daemons :]),
    )


def make_settings(layout: Layout, name: str) -> dict[str, Any]:
    """Return the settings of one daemon."""
    peers = [
        {
            'name': peer,
            'address': LOOPBACK,
            'port': port,
            'data_centre': layout.data_centres[peer],
        }
        for peer, port in layout.peer_ports.items()
        if peer != name
    ]
    digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    return {
        'name': name,
        'data_centre': layout.data_centres[name],
        'region': layout.site.region,
        'listen': {'address': LOOPBACK, 'port': layout.http_ports[name]},
        'peers_listen': {
            'address': LOOPBACK,
            'port': layout.peer_ports[name],
        },
        'peers': peers,
        'store': {'url': layout.store_url},
        'vm_list': {'url': layout.vm_list_url},
        'peer_key': PEER_KEY,
        'operators': [
            {
                'name': 'local-operator',
                'token_sha256': digest,
                'subtrees': ['/'],
                'role': 'write',
            },
        ],
        'callers': {'trust_x_team': True},
        'shutdown': {'balancer_grace': 1.0, 'drain': 10.0},
        'logs': {'format': 'json', 'level': 'info'},
    }


def write_settings(layout: Layout, folder: Path) -> dict[str, Path]:
    """Write the settings file of each daemon, and the VM list.

    :returns: path of the settings, by daemon.
    """
    paths = {}
    for name in layout.http_ports:
        path = folder / f'{name}.json'
        path.write_text(json.dumps(make_settings(layout, name), indent=2))
        paths[name] = path
    (folder / 'vms.json').write_text(json.dumps(layout.vms, indent=2))
    return paths
