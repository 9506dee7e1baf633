"""The operator configuration as a daemon knows it."""

import asyncio
from collections.abc import Callable, Collection, Mapping
from typing import Any

from result import Err

from verbenapost.platform.names import CONFIGURATION_KEY, WAVE_PREFIX
from verbenapost.platform.records import decode_configuration, decode_wave
from verbenapost.protocol.orders import KeyChange
from verbenapost.state.tenants import TenantTerms
from verbenapost.state.workloads import (
    FleetConfiguration,
    MaintenanceWave,
    Route,
    ServicePool,
)


class ConfigurationFollower:
    """Keeps the highest configuration version and never reverts to a lower one.

    :param log: logger.
    :ivar current: configuration in force, or ``None`` before the first one.
    :ivar waves: maintenance waves by number.
    :ivar known: set once a configuration is in force.
    :ivar changed: functions to call after each change.
    """

    def __init__(self, log: Any) -> None:
        self.current: FleetConfiguration | None = None
        self.waves: dict[int, MaintenanceWave] = {}
        self.known = asyncio.Event()
        self.changed: list[Callable[[], None]] = []
        self._log = log
        self._routes: dict[str, Route] = {}

    def apply_change(self, change: KeyChange) -> None:
        """Apply a change of an operator key."""
        if change.key == CONFIGURATION_KEY and change.value is not None:
            self._apply_configuration(change.value)
        elif change.key.startswith(WAVE_PREFIX):
            self._apply_wave(change)

    def find_route(self, name: str) -> Route | None:
        """Return a route by name, including one that was removed."""
        return self._routes.get(name)

    def find_tenant(self, name: str) -> TenantTerms | None:
        """Return the terms of a tenant in the version in force."""
        tenants = None if self.current is None else self.current.tenants
        tenant = None if tenants is None else tenants.get(name)
        return None if tenant is None else tenant.terms

    def find_services(self) -> Mapping[str, ServicePool]:
        """Return the configured services by name."""
        return {} if self.current is None else self.current.services

    def services(self) -> Collection[str]:
        """Return the names of the configured services."""
        return () if self.current is None else self.current.services

    def _apply_configuration(self, packed: bytes) -> None:
        decoded = decode_configuration(packed)
        if isinstance(decoded, Err):
            self._log.error('configuration ignored', fault=decoded.err_value)
            return
        found = decoded.ok_value
        current = self.current
        if current is not None and found.version <= current.version:
            return
        self.current = found
        self._routes.update(found.routes)
        self._log.info(
            'configuration adopted',
            version=found.version,
            routes=len(found.routes),
            services=len(found.services),
        )
        self.known.set()
        for notify in self.changed:
            notify()

    def _apply_wave(self, change: KeyChange) -> None:
        if change.value is None:
            return
        decoded = decode_wave(change.value)
        if isinstance(decoded, Err):
            self._log.error(
                'wave ignored', key=change.key, fault=decoded.err_value
            )
            return
        wave = decoded.ok_value
        self.waves[wave.number] = wave
        self._log.info(
            'wave known', wave=wave.number, vms=len(wave.vms), cap=wave.cap
        )
        for notify in self.changed:
            notify()
