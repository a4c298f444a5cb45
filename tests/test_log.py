"""Tests of background logging: bounded queue, non-blocking writes."""

import datetime
import io
import json
import threading
import time

import testtools

from bilberryhaven import log


class BlockedStream:
    """Stream whose writes block until ``released`` is set, at most 10 s."""

    def __init__(self):
        self.released = threading.Event()
        self.lines = []

    def write(self, text):
        self.released.wait(10)
        self.lines.append(text)

    def flush(self):
        pass


class BackgroundStreamTest(testtools.TestCase):
    def test_lines_are_written_in_order(self):
        target = io.StringIO()
        stream = log.BackgroundStream(stream=target)
        for number in range(100):
            stream.write(f'{number}\n')
        stream.drain()
        expected = ''.join(f'{number}\n' for number in range(100))
        self.assertEqual(expected, target.getvalue())

    def test_blocked_stream_does_not_block_writers(self):
        target = BlockedStream()
        self.addCleanup(target.released.set)
        stream = log.BackgroundStream(stream=target, limit=10)
        start = time.monotonic()
        for _ in range(1000):
            stream.write('line\n')
        self.assertTrue(time.monotonic() - start < 1.0)

    def test_dropped_lines_are_counted(self):
        target = BlockedStream()
        stream = log.BackgroundStream(stream=target, limit=10)
        for _ in range(100):
            stream.write('line\n')
        target.released.set()
        stream.drain(5)
        text = ''.join(target.lines)
        counts = [
            json.loads(line)['left_out']
            for line in text.splitlines()
            if 'left_out' in line
        ]
        self.assertEqual(100, text.count('line\n') + sum(counts))
        self.assertTrue(sum(counts) >= 88)


class RoundSecondsTest(testtools.TestCase):
    def test_no_time_and_none_differ(self):
        durations = (datetime.timedelta(), datetime.timedelta(seconds=1.2345))
        self.assertEqual(
            [0.0, 1.234], [log.round_seconds(item) for item in durations]
        )
        self.assertIsNone(log.round_seconds(None))
