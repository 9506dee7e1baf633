"""Tests of the log stream, also with a reader that does not read."""

import os

import pytest

from verbenapost.daemon.logstream import BoundedStream


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


class TestBoundedStream:
    def test_lines_arrive_in_order(self, pipe):
        reader, writer = pipe
        stream = BoundedStream(writer)
        stream.write('one\n')
        stream.write('two\n')
        stream.flush()
        assert os.read(reader, 100) == b'one\ntwo\n'

    def test_a_reader_that_does_not_read_blocks_nothing(self, pipe):
        reader, writer = pipe
        stream = BoundedStream(writer, limit=10_000)
        line = 'x' * 999 + '\n'
        for _ in range(1000):
            stream.write(line)
            stream.flush()
        assert stream.dropped > 0
        received = b''
        os.set_blocking(reader, False)
        for _ in range(20):
            try:
                received += os.read(reader, 1 << 20)
            except BlockingIOError:
                break
            stream.write('late\n')
            stream.flush()
        assert b'"dropped": ' in received
        assert received.endswith(b'late\n')
        lines = set(received.splitlines())
        assert line.strip().encode() in lines
        assert len(lines) == 3
