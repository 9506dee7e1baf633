"""Options that all commands have in common."""

import dataclasses
import os
import re
from collections.abc import Mapping, Sequence
from typing import final

from verbenapost.cli.exits import make_usage_error

#: Value of ``--wait`` without a number, in seconds.
DEFAULT_WAIT_SECONDS = 10

_URL = re.compile(r'https?://[^/\s@]+/?')
_NUMBER = re.compile(r'[0-9]+(?:\.[0-9]+)?')


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Common options of one run.

    :param daemon: URL of any daemon.
    :param token: bearer token of the operator.
    :param as_json: print JSON instead of tables.
    """

    daemon: str = ''
    token: str = dataclasses.field(default='', repr=False)
    as_json: bool = False

    def check(self) -> None:
        """Check the options that a request to a daemon needs.

        :raises CommandError: when the URL or the token is missing or bad.
        """
        if not self.daemon:
            raise make_usage_error(
                'no daemon is named',
                'give --daemon http://IP:port or set VERBENAPOST_DAEMON',
            )
        if not _URL.fullmatch(self.daemon):
            raise make_usage_error(
                f'{self.daemon!r} is no URL of a daemon',
                'give a URL such as http://127.0.0.1:8001',
            )
        if not (self.token.isascii() and self.token.isprintable()):
            raise make_usage_error(
                'the token has characters that no token has',
                'set VERBENAPOST_TOKEN without quotes and line ends',
            )


@final
@dataclasses.dataclass(frozen=True, slots=True)
class CommandLine:
    """Parsed command line.

    :param options: common options.
    :param rest: other words, which name the command and its arguments.
    """

    options: Options
    rest: Sequence[str]


def parse_options(
    arguments: Sequence[str],
    environment: Mapping[str, str] = os.environ,
) -> CommandLine:
    """Separate the common options, in any position, from the other words.

    Explanation
    ===========

    The command-line library would parse the word after a bare ``--json`` or
    ``--wait`` as the option's value. These options are therefore replaced
    first.

    Examples
    ========

    >>> command_line = parse_options(['--json', 'vms', 'list'], {})
    >>> command_line.options.as_json, command_line.rest
    (True, ['vms', 'list'])
    >>> parse_options(['config', 'apply', '--wait', 'a.json'], {}).rest
    ['config', 'apply', '--wait=10', 'a.json']

    :param arguments: words of the command line.
    :param environment: environment variables.
    :raises CommandError: when an option lacks its value.
    """
    option_values = {
        '--daemon': environment.get('VERBENAPOST_DAEMON', ''),
        '--token': environment.get('VERBENAPOST_TOKEN', ''),
    }
    as_json = False
    rest = []
    remaining = list(arguments)
    while remaining:
        word = remaining.pop(0)
        name, separator, value = word.partition('=')
        if name in option_values:
            option_values[name] = (
                value if separator else _pop_value(name, remaining)
            )
        elif word == '--json':
            as_json = True
        elif word == '--wait':
            rest.append(f'--wait={_pop_seconds(remaining)}')
        else:
            rest.append(word)
    options = Options(
        option_values['--daemon'], option_values['--token'], as_json
    )
    return CommandLine(options, rest)


def _pop_value(name: str, remaining: list[str]) -> str:
    if not remaining:
        raise make_usage_error(f'{name} lacks its value', f'give {name}=VALUE')
    return remaining.pop(0)


def _pop_seconds(remaining: list[str]) -> str:
    if remaining and _NUMBER.fullmatch(remaining[0]):
        return remaining.pop(0)
    return str(DEFAULT_WAIT_SECONDS)
