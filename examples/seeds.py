"""Initial documents and VM records of a local site."""

import random
import time

from result import Err

from examples.layout import Layout
from examples.sites import make_platform_document, make_team_document
from verbenapost.coordination.changes import ChangeRequest
from verbenapost.coordination.configuration import ConfigurationService
from verbenapost.coordination.documents import Clocks
from verbenapost.coordination.rights import OperatorToken, Rights, Role
from verbenapost.coordination.writes import ResolvingWriter
from verbenapost.protocol.store import NO_REVISION
from verbenapost.state.vms import VM_PREFIX, VmRecord, pack_vm
from verbenapost.transport.store import HttpStoreClient, StoreSettings

_INSTANCE = 'seed'


class SeedError(RuntimeError):
    """An initial document or VM record was refused."""


async def seed_store(layout: Layout) -> None:
    """Write the VM records and documents of a new site.

    :raises SeedError: when a write is refused.
    """
    store = HttpStoreClient(StoreSettings(url=layout.store_url))
    try:
        await _write_vms(store, layout)
        await _write_documents(store, layout)
    finally:
        await store.close()


async def _write_vms(store: HttpStoreClient, layout: Layout) -> None:
    now = time.time()
    for row in layout.vms:
        record = VmRecord(
            name=row['name'],
            address=row['address'],
            pool=row['pool'],
            data_centre=row['data_centre'],
            rack=row['rack'],
            changed_at=now,
            maintained_at=now,
            writer=_INSTANCE,
        )
        key = f'{VM_PREFIX}{record.name}'
        written = await store.swap(key, NO_REVISION, pack_vm(record))
        if isinstance(written, Err):
            raise SeedError(written.err_value)


async def _write_documents(store: HttpStoreClient, layout: Layout) -> None:
    writer = ResolvingWriter(store, time.monotonic, random.Random(_INSTANCE))
    clocks = Clocks(unix=time.time, monotonic=time.monotonic)
    service = ConfigurationService(store, _INSTANCE, writer, clocks)
    await service.load()
    token = OperatorToken(_INSTANCE, '', '/', Role.WRITE)
    rights = Rights(_INSTANCE, (token,))
    documents = {
        'platform': make_platform_document(layout.site),
        layout.site.team: make_team_document(layout.site),
    }
    for team, document in documents.items():
        request = ChangeRequest(_INSTANCE, 'new local site', team, document)
        applied = await service.apply(request, rights)
        if isinstance(applied, Err):
            raise SeedError(applied.err_value)
