"""The command ``check``, which validates an operator configuration file."""

import dataclasses
from pathlib import Path
from typing import final

from verbenapost.cli.exits import make_usage_error
from verbenapost.cli.files import MAX_FILE_BYTES
from verbenapost.cli.tables import format_table
from verbenapost.platform.configurationcheck import (
    CheckedConfiguration,
    ConfigurationFinding,
    check_configuration,
    check_version,
)
from verbenapost.state.configurationchanges import (
    ConfigurationChange,
    list_changes,
)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """What was found in a configuration.

    :param findings: its faults.
    :param changes: differences from the version in force.
    """

    findings: tuple[ConfigurationFinding, ...]
    changes: tuple[ConfigurationChange, ...] = ()

    def show(self) -> str:
        """Return the result as tables."""
        tables = [
            format_table(columns, [dataclasses.asdict(row) for row in rows])
            for columns, rows in (
                (('kind', 'path', 'value', 'rule'), self.findings),
                (('path', 'before', 'after'), self.changes),
            )
            if rows
        ]
        return '\n\n'.join(tables) or 'no fault found'


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CheckCommand:
    """The command ``check``, which reads files and sends no request.

    :param source: file with the configuration to check.
    :param against: file with the version in force, or empty.
    """

    source: str
    against: str = ''

    def run(self) -> CheckResult:
        """Return what is found.

        :raises CommandError: when a file can't be read, or the version in
            force can't be decoded.
        """
        checked = _check_file(self.source)
        if not self.against:
            return CheckResult(checked.findings)
        in_force = _check_file(self.against).decoded
        if in_force is None:
            raise make_usage_error(
                f'{self.against} is no valid configuration',
                'give the version in force, or check that file by itself',
            )
        if checked.decoded is None:
            return CheckResult(checked.findings)
        return CheckResult(
            (*checked.findings, *check_version(checked.decoded, in_force)),
            tuple(list_changes(in_force, checked.decoded)),
        )


def _check_file(name: str) -> CheckedConfiguration:
    try:
        with Path(name).open('rb') as source:
            packed = source.read(MAX_FILE_BYTES + 1)
    except OSError as fault:
        advice = 'give a file with the configuration as JSON'
        raise make_usage_error(f'{name}: {fault}', advice) from fault
    if len(packed) > MAX_FILE_BYTES:
        raise make_usage_error(
            f'{name} is longer than {MAX_FILE_BYTES} bytes',
            'give a file with the configuration alone',
        )
    return check_configuration(packed)
