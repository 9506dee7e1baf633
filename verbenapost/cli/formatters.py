"""Formatting of a daemon's answers as text."""

import json
from collections.abc import Callable
from typing import Any

from verbenapost.cli.tables import format_fields, format_table, format_time

Formatter = Callable[[Any], str]


def make_table_formatter(*columns: str) -> Formatter:
    """Return a function that formats a list as a table.

    :param columns: keys of the items, in order.
    """

    def format_items(content: Any) -> str:
        return format_table(columns, content['items'])

    return format_items


def format_history(content: Any) -> str:
    """Format audit entries, the newest last."""
    blocks = []
    for entry in content['items']:
        moment = format_time(entry['changed_at'])
        title = f'{entry["number"]}  {moment}  {entry["author"]}'
        lines = [f'{title}: {entry["reason"]}']
        for change in entry['changes']:
            before = _format_absent(change['before'])
            after = _format_absent(change['after'])
            lines.append(f'    {change["path"]}: {before} -> {after}')
        if entry['omitted']:
            lines.append(f'    and {entry["omitted"]} more')
        blocks.append('\n'.join(lines))
    return '\n'.join(blocks) or 'no change yet'


def format_document(content: Any) -> str:
    """Format a document as JSON that can be edited and applied."""
    return json.dumps(content, indent=2, sort_keys=True)


def format_applied(content: Any) -> str:
    """Format an accepted change and the members that lag behind."""
    text = f'{content["team"]}: revision {content["revision"]} is accepted'
    if content['lagging']:
        names = ', '.join(content['lagging'])
        return f'{text}; not yet reported by {names}'
    return f'{text} and in force on all members'


def format_wave(content: Any) -> str:
    """Format the wave, its forecast and the reasons for which VMs wait."""
    fields = {**content, 'expected_end': format_time(content['expected_end'])}
    waiting = fields.pop('waiting')
    rows = [{'vm': vm, 'waits_for': reason} for vm, reason in waiting.items()]
    text = format_fields(fields)
    if rows:
        return f'{text}\n\n{format_table(["vm", "waits_for"], rows)}'
    return text


def _format_absent(text: str | None) -> str:
    return '(absent)' if text is None else text
