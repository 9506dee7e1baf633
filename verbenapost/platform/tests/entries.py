"""Entries of workers and odd values that tests share."""

import json

from hypothesis import strategies as st

ENTRY = {
    'service': 'routing',
    'address': '10.0.0.1:999',
    'zone': 'a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'capacity': {'cpu': 8000, 'mem_mb': 8000, 'gpu': 0},
    'labels': ['a', 'r0'],
    'machine': 'vm-1',
    'born': 1_700_000_000_000,
}

#: Numbers as JSON that a count must not be.
ODD_COUNTS = (
    '1e999',
    '-1e999',
    'NaN',
    '-1',
    '-0.0',
    '1.5',
    '1e3',
    'true',
    'null',
    '"7"',
    '[7]',
    str(2**63),
    str(10**400),
    '9' * 5000,
)

NUMBERS = st.integers() | st.floats() | st.integers(2**60, 2**70)
JSON = st.recursive(
    st.none() | st.booleans() | NUMBERS | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=8,
)


def encode(**changed):
    """Return a valid entry with some fields changed."""
    return json.dumps(ENTRY | changed).encode()


def encode_number(name, number):
    """Return an entry with a number as it stands in the text."""
    return encode(**{name: 'HERE'}).replace(b'"HERE"', number.encode())
