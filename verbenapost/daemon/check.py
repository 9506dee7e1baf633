"""Reads settings files and reports all faults at once."""

import collections
import dataclasses
import json
import sys
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

import pydantic
from result import Err, Ok, Result

from verbenapost.daemon.faults import MASK, Fault, list_faults
from verbenapost.daemon.settings import MIN_KEY_LENGTH, Settings
from verbenapost.protocol.strictjson import parse_json

#: Largest settings file, in bytes.
MAX_SETTINGS_BYTES = 1_048_576

_ADAPTER = pydantic.TypeAdapter(Settings)
_ROOT = '(document)'

Rule = Callable[[Settings], Iterator[Fault]]

_RULES: list[Rule] = []


def register_rule(rule: Rule) -> Rule:
    """Register a rule that checks more than one key."""
    _RULES.append(rule)
    return rule


def load_settings(path: str | Path) -> Result[Settings, list[Fault]]:
    """Read, check and return the settings in a file.

    :param path: JSON file.
    :returns: the settings, or all faults that were found.
    """
    try:
        text = _read_file(path)
    except (OSError, ValueError) as fault:
        return Err([Fault(str(path), '(file)', str(fault))])
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, list[Fault]]:
    """Check and return the settings in a JSON document."""
    try:
        parse_json(text)
    except ValueError as fault:
        return Err([Fault(_ROOT, '(text)', str(fault))])
    try:
        settings = _ADAPTER.validate_json(text)
    except pydantic.ValidationError as error:
        return Err(list_faults(error))
    faults = [fault for rule in _RULES for fault in rule(settings)]
    if faults:
        return Err(faults)
    return _resolve_key(settings)


def check_settings(path: str | Path) -> int:
    """Print the faults of a settings file to standard error.

    :returns: exit code, 0 when there are no faults.
    """
    checked = load_settings(path)
    if isinstance(checked, Ok):
        sys.stdout.write(f'{path}: the settings are valid\n')
        return 0
    for fault in checked.err_value:
        sys.stderr.write(f'{path}: {fault}\n')
    return 1


def write_schema() -> str:
    """Return the JSON schema of settings files, for use in editors."""
    schema = _ADAPTER.json_schema()
    schema['title'] = 'Settings of verbenapostd'
    text = json.dumps(schema, indent=2, sort_keys=True)
    return f'{text}\n'


def _read_file(path: str | Path) -> str:
    with Path(path).open('rb') as source:
        text = source.read(MAX_SETTINGS_BYTES + 1)
    if len(text) > MAX_SETTINGS_BYTES:
        raise ValueError(f'must have at most {MAX_SETTINGS_BYTES} bytes')
    return text.decode()


def _find_repeated(names: Iterable[str]) -> list[str]:
    counted = collections.Counter(names)
    return [name for name, count in counted.items() if count > 1]


@register_rule
def check_addresses(settings: Settings) -> Iterator[Fault]:
    """Check that peer names and listening addresses are unique."""
    for repeated in _find_repeated(peer.name for peer in settings.peers):
        yield Fault('peers', f'"{repeated}"', 'each name may occur once')
    if settings.listen == settings.peers_listen:
        port = str(settings.listen.port)
        yield Fault('peers_listen.port', port, 'must differ from listen.port')


@register_rule
def check_limits(settings: Settings) -> Iterator[Fault]:
    """Check limits that depend on one another, and the roles."""
    limits = settings.limits
    if limits.bodies_total_bytes < limits.body_bytes:
        total = str(limits.bodies_total_bytes)
        rule = 'must be at least limits.body_bytes'
        yield Fault('limits.bodies_total_bytes', total, rule)
    if not settings.roles:
        yield Fault('roles', 'an array', 'must name at least one role')


@register_rule
def check_secrets(settings: Settings) -> Iterator[Fault]:
    """Check the peer key, the holders of tokens and their subtrees."""
    if (settings.peer_key is None) == (settings.peer_key_file is None):
        rule = 'give exactly one of peer_key and peer_key_file'
        yield Fault('peer_key', MASK, rule)
    if _has_shared_token(settings):
        yield Fault('token_sha256', MASK, 'a token may have one holder')
    for index, operator in enumerate(settings.operators):
        if not operator.subtrees:
            path = f'operators[{index}].subtrees'
            yield Fault(path, 'an array', 'must name at least one path')


def _has_shared_token(settings: Settings) -> bool:
    """Return whether two operators or teams hold the same token."""
    holders = {
        (operator.token_sha256, f'operator {operator.name}')
        for operator in settings.operators
    }
    holders.update(
        (token.token_sha256, f'team {token.team}')
        for token in settings.callers.tokens
    )
    return bool(_find_repeated(digest for digest, _ in holders))


def _resolve_key(settings: Settings) -> Result[Settings, list[Fault]]:
    if settings.peer_key_file is None:
        return Ok(settings)
    name = settings.peer_key_file
    try:
        text = _read_file(name).strip()
    except (OSError, ValueError) as fault:
        return Err([Fault('peer_key_file', name, str(fault))])
    if len(text) < MIN_KEY_LENGTH:
        rule = f'must hold at least {MIN_KEY_LENGTH} characters'
        return Err([Fault('peer_key_file', name, rule)])
    secret = pydantic.SecretStr(text)
    return Ok(dataclasses.replace(settings, peer_key=secret))


if __name__ == '__main__':
    sys.stdout.write(write_schema())
