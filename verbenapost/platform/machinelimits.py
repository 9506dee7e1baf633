"""The platform's limits on a process, as the daemon's own settings."""

from collections.abc import Callable, Mapping
from typing import Any, Final

#: Bytes per unit of the platform's memory limit.
MB: Final = 1_000_000

_Row = tuple[str, str, str, Callable[[float], float]]


def _count_bytes(megabytes: float) -> int:
    return int(megabytes * MB)


# Name of the limit, section and name of the setting, setting of a limit.
_SETTINGS_BY_LIMIT: Final[tuple[_Row, ...]] = (
    ('cpu_share', 'processor', 'share', float),
    ('cores', 'processor', 'speed', float),
    ('max_fds', 'connection_limits', 'descriptors', int),
    ('memory_mb', 'connection_limits', 'memory_bytes', _count_bytes),
)


def translate_limits(limits: Any) -> dict[str, dict[str, float]]:
    """Return sections of the settings with what the platform limits.

    Limits that are missing, empty or unknown are left out, since the platform
    may bring others and leave some empty.

    Examples
    ========

    >>> translate_limits({'cores': 2, 'max_fds': None, 'disk_mb': 0})
    {'processor': {'speed': 2.0}}
    >>> translate_limits({'memory_mb': 300})
    {'connection_limits': {'memory_bytes': 300000000}}

    :param limits: the platform's table of limits by its own names.
    """
    sections: dict[str, dict[str, float]] = {}
    if not isinstance(limits, Mapping):
        return sections
    for name, section, setting, convert in _SETTINGS_BY_LIMIT:
        limit = limits.get(name)
        if isinstance(limit, (int, float)):
            sections.setdefault(section, {})[setting] = convert(limit)
    return sections
