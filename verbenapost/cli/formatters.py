"""Text for people, made from the answers of a daemon."""

import json
from collections.abc import Callable
from typing import Any

from verbenapost.cli.tables import format_fields, format_table, format_time

Show = Callable[[Any], str]


def show_items(*columns: str) -> Show:
    """Return what shows a list as a table."""

    def show(content: Any) -> str:
        return format_table(columns, content['items'])

    return show


def show_history(content: Any) -> str:
    """Show audit entries, the newest last."""
    blocks = []
    for entry in content['items']:
        moment = format_time(entry['changed_at'])
        title = f'{entry["number"]}  {moment}  {entry["author"]}'
        lines = [f'{title}: {entry["reason"]}']
        for change in entry['changes']:
            before = _show_absent(change['before'])
            after = _show_absent(change['after'])
            lines.append(f'    {change["path"]}: {before} -> {after}')
        if entry['omitted']:
            lines.append(f'    and {entry["omitted"]} more')
        blocks.append('\n'.join(lines))
    return '\n'.join(blocks) or 'no change yet'


def show_document(content: Any) -> str:
    """Show a document as JSON that can be edited and applied."""
    return json.dumps(content, indent=2, sort_keys=True)


def show_applied(content: Any) -> str:
    """Show an accepted change and the members that lag behind."""
    text = f'{content["team"]}: revision {content["revision"]} is accepted'
    if content['lagging']:
        names = ', '.join(content['lagging'])
        return f'{text}; not yet reported by {names}'
    return f'{text} and in force on all members'


def show_wave(content: Any) -> str:
    """Show the wave, its forecast and why VMs wait."""
    fields = {**content, 'expected_end': format_time(content['expected_end'])}
    waiting = fields.pop('waiting')
    rows = [{'vm': vm, 'waits_for': why} for vm, why in waiting.items()]
    text = format_fields(fields)
    if rows:
        return f'{text}\n\n{format_table(["vm", "waits_for"], rows)}'
    return text


def _show_absent(text: str | None) -> str:
    return '(absent)' if text is None else text
