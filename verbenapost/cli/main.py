"""Entry point of the command-line tool."""

import asyncio
import dataclasses
import json
import os
import sys
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

import fire

from verbenapost.cli.client import send_request
from verbenapost.cli.commands import AnyCommand, Commands, LogCommand
from verbenapost.cli.configurationcheck import CheckCommand
from verbenapost.cli.exits import CommandError, ExitCode, make_usage_error
from verbenapost.cli.options import Options, parse_options
from verbenapost.cli.resourcecommands import Command

# Keeps the command-line library from starting a pager for the help.
_NO_PAGER = '-'


def run() -> None:
    """Run the command in the arguments of the process."""
    sys.exit(run_command(sys.argv[1:]))


def run_command(arguments: Sequence[str]) -> int:
    """Run one command.

    :param arguments: words of the command line.
    :returns: exit code.
    """
    os.environ.setdefault('PAGER', _NO_PAGER)
    try:
        return _run(arguments)
    except CommandError as fault:
        sys.stderr.write(f'verbenapost: {fault.message}\n')
        sys.stderr.write(f'  {fault.advice}\n')
        return int(fault.code)


def _run(arguments: Sequence[str]) -> int:
    command_line = parse_options(arguments)
    command = _parse_command(command_line.rest)
    if command is None:
        return int(ExitCode.SUCCESS)
    if isinstance(command, LogCommand):
        text = command.run(as_json=command_line.options.as_json)
        sys.stdout.write(f'{text}\n')
        return int(ExitCode.SUCCESS)
    if isinstance(command, CheckCommand):
        return int(_check_configuration(command_line.options, command))
    command_line.options.check()
    answer = asyncio.run(send_request(command_line.options, command.request))
    _write_answer(command_line.options, command, answer.content)
    if answer.status == HTTPStatus.ACCEPTED:
        raise CommandError(
            ExitCode.UNKNOWN,
            'not all members reported the change in time',
            'it is accepted; look at members list whether they follow',
        )
    return int(ExitCode.SUCCESS)


def _parse_command(words: Sequence[str]) -> AnyCommand | None:
    """Return the command, or ``None`` when the help was shown."""
    selected: list[AnyCommand] = []
    try:
        fire.Fire(
            Commands(selected.append),
            command=list(words),
            name='verbenapost',
        )
    except fire.core.FireExit as fault:
        if fault.code:
            detail = 'the command line is not understood'
            advice = 'see verbenapost --help'
            raise make_usage_error(detail, advice) from fault
        return None
    return selected[0] if selected else None


def _check_configuration(options: Options, command: CheckCommand) -> ExitCode:
    found = command.run()
    text = found.show()
    if options.as_json:
        text = json.dumps(dataclasses.asdict(found), indent=2)
    sys.stdout.write(f'{text}\n')
    return ExitCode.REFUSED if found.findings else ExitCode.SUCCESS


def _write_answer(options: Options, command: Command, content: Any) -> None:
    if options.as_json:
        text = json.dumps(content, indent=2, sort_keys=True)
    else:
        text = command.show(content)
    sys.stdout.write(f'{text}\n')
