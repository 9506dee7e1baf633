"""The two local sites: services, workers, data centres and documents."""

import dataclasses
from typing import Any

#: Largest number of VMs of one rack.
RACK_SIZE = 4

#: Number of VMs of one service.
SERVICE_VMS = 6

#: Concurrent requests and open connections of one VM.
SLOTS = 8
CONNECTIONS = 64


@dataclasses.dataclass(frozen=True)
class Site:
    """A deployment at its present, small size.

    :param name: name of the site.
    :param region: region of all its data centres.
    :param data_centres: names of the data centres.
    :param cores: processor cores of one worker.
    :param memory_gb: memory of one worker in GB.
    :param team: team that owns the services.
    :param services: names of the services; each runs in the pool of its name.
    :param spare: service whose pool is the spare pool.
    :param routes: route rules, by service.
    """

    name: str
    region: str
    data_centres: tuple[str, ...]
    cores: int
    memory_gb: int
    team: str
    services: tuple[str, ...]
    spare: str
    routes: dict[str, tuple[dict[str, Any], ...]]


CALEDON = Site(
    name='caledon',
    region='scotland',
    data_centres=('glasgow', 'edinburgh', 'dundee'),
    cores=16,
    memory_gb=64,
    team='caledon',
    services=(
        'routing',
        'certification',
        'booking',
        'weighing',
        'administration',
    ),
    spare='administration',
    routes={
        'certification': (
            {
                'method': 'POST',
                'path': '/certificates',
                'idempotent': False,
                'kind': 'certificate',
            },
        ),
        'booking': (
            {
                'method': 'POST',
                'path': '/visits',
                'idempotent': True,
                'kind': 'visit',
            },
        ),
        'weighing': (
            {
                'method': 'POST',
                'path': '/reconciliations',
                'idempotent': True,
                'kind': 'ledger',
            },
        ),
        'administration': (
            {
                'method': 'POST',
                'path': '/invoices',
                'idempotent': False,
                'kind': 'invoice',
            },
        ),
    },
)

HAI_PHONG = Site(
    name='hai_phong',
    region='hai-phong',
    data_centres=('hong-bang', 'le-chan', 'ngo-quyen'),
    cores=32,
    memory_gb=128,
    team='hai-phong',
    services=('counter', 'pricing', 'supply', 'dispatch', 'clerical'),
    spare='clerical',
    routes={
        'counter': (
            {
                'method': 'POST',
                'path': '/orders',
                'idempotent': False,
                'kind': 'order',
            },
            {
                'method': 'POST',
                'path': '/checks',
                'idempotent': True,
                'kind': 'counter',
            },
            {
                'method': 'POST',
                'path': '/ledger',
                'idempotent': True,
                'kind': 'ledger',
            },
        ),
        'supply': (
            {
                'method': 'POST',
                'path': '/restocks',
                'idempotent': False,
                'kind': 'restock',
            },
        ),
        'clerical': (
            {
                'method': 'POST',
                'path': '/billing',
                'idempotent': False,
                'kind': 'billing',
            },
        ),
    },
)

SITES = {site.name: site for site in (CALEDON, HAI_PHONG)}


def make_platform_document(site: Site) -> dict[str, Any]:
    """Return the platform document, which no team owns."""
    pools = {
        service: {'vms': SERVICE_VMS - 1, 'spare': service == site.spare}
        for service in site.services
    }
    return {'pools': pools, 'drain_seconds': 5.0}


def make_team_document(site: Site) -> dict[str, Any]:
    """Return the document of the team that owns the services."""
    services = {}
    for service in site.services:
        services[service] = {
            'pool': service,
            'slots': SLOTS,
            'connections': CONNECTIONS,
            'budget': {'min_healthy': 3, 'max_planned': 1, 'survive': 'rack'},
            'routes': list(site.routes.get(service, ())),
            'overflow': None if service == site.spare else site.spare,
        }
    return {'services': services}


def make_vms(site: Site, ports: list[int]) -> list[dict[str, Any]]:
    """Return the VM list, spread over data centres and racks.

    :param ports: a port on the loopback address for each VM.
    """
    rows = []
    counts = dict.fromkeys(site.data_centres, 0)
    for number in range(SERVICE_VMS * len(site.services)):
        service = site.services[number % len(site.services)]
        index = number // len(site.services)
        data_centre = site.data_centres[number % len(site.data_centres)]
        rack = counts[data_centre] // RACK_SIZE
        counts[data_centre] += 1
        rows.append(
            {
                'name': f'{service}-{index + 1}',
                'address': f'127.0.0.1:{ports[number]}',
                'data_centre': data_centre,
                'rack': f'{data_centre}-r{rack + 1}',
                'cores': site.cores,
                'memory_gb': site.memory_gb,
                'accelerators': 0,
                'state': 'live',
                'pool': service,
            }
        )
    return rows
