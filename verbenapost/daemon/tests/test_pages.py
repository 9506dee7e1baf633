"""Tests that the examples on the operators' pages are valid."""

import json
import re
from pathlib import Path

import pydantic

from verbenapost.daemon.check import parse_settings
from verbenapost.state.documents import TeamDocument

PAGES = Path(__file__).parents[3] / 'docs' / 'operators'


def read_example(page):
    """Return the first indented block that is a JSON object."""
    text = (PAGES / page).read_text()
    block = re.search(r'^    \{\n(?:    .*\n)+?    \}$', text, re.MULTILINE)
    return block[0]


class TestPages:
    def test_settings(self, tmp_path):
        key_file = tmp_path / 'peers'
        key_file.write_text('a-shared-key-of-peers')
        example = read_example('settings.md').replace(
            '/run/keys/peers', str(key_file)
        )
        for digit in '12':
            example = example.replace('(64 hex digits)', digit * 64, 1)
        settings = parse_settings(example).unwrap()
        assert settings.operators[0].name == 'kim'

    def test_settings_name_every_key(self):
        page = (PAGES / 'settings.md').read_text()
        settings = parse_settings(
            json.dumps(
                {
                    'name': 'a',
                    'data_centre': 'b',
                    'listen': {'address': '::1', 'port': 1},
                    'peers_listen': {'address': '::1', 'port': 2},
                    'store': {'url': 'http://[::1]:3'},
                    'vm_list': {'url': 'http://[::1]:4'},
                    'peer_key': 'a-shared-key-of-peers',
                }
            )
        ).unwrap()
        for name in vars(settings):
            assert re.search(rf'`{name}[.`]', page), name
        for name in vars(settings.limits):
            assert f'`limits.{name}`' in page

    def test_team_document(self):
        content = json.loads(read_example('configuration.md'))
        document = pydantic.TypeAdapter(TeamDocument).validate_python(content)
        assert document.quotas['*']['*'].soft
