"""Tests of the rig's verdict; each case is one that it must tell apart."""

import mmap
import struct
import subprocess
import sys
import tempfile
import time

import testtools

from soak import rig_oracle

# Four threads write the time until the process ends.
SPINNER = """
import mmap, struct, sys, threading, time

def spin(number):
    while True:
        struct.pack_into('d', data, 8 * number, time.monotonic())

with open(sys.argv[1], 'r+b') as file:
    data = mmap.mmap(file.fileno(), 32)
for number in (1, 2, 3):
    threading.Thread(target=spin, args=(number,), daemon=True).start()
spin(0)
"""


def build_events(*rows):
    """Return events of (time, what, run number or end's number, how) rows."""
    events = []
    for at, what, number, *rest in rows:
        event = {'at': at, 'what': what, 'worker': 'i-1', 'task': 't'}
        if what == 'acked':
            event['upto'] = number
        elif what == 'ended':
            event.update(run=1, number=number, how=rest[0])
        elif what == 'lease':
            event['until'] = number
        elif what == 'order':
            event.update(run=number, late=rest[0])
        else:
            event['run'] = number
        events.append(event)
    return events


class VerdictTest(testtools.TestCase):
    def find(self, first, second):
        return rig_oracle.find_breaks(
            {'a': build_events(*first), 'b': build_events(*second)}
        )

    def test_two_runs_at_once(self):
        broken = self.find([(1, 'start', 1)], [(2, 'start', 2)])
        self.assertIn('two runs at once', broken[0])

    def test_run_ends_with_its_worker(self):
        first = [(1, 'start', 1), (2, 'exit', 0)]
        self.assertEqual([], self.find(first, [(3, 'start', 2)]))

    def test_run_of_a_stopped_worker_ends_with_its_lease(self):
        # Guards against breaks that were the rig's own: the worker was
        # stopped at 2, its lease expired at 5, it was killed at 9.
        first = [(1, 'start', 1), (1, 'lease', 4), (2, 'lease', 5)]
        first.append((9, 'exit', 0))
        self.assertEqual([], self.find(first, [(5, 'start', 2)]))
        broken = self.find(first, [(4.9, 'start', 2)])
        self.assertIn('two runs at once', broken[0])

    def test_lease_that_holds_ends_no_run_before_its_worker(self):
        first = [(1, 'start', 1), (1, 'lease', 9), (5, 'exit', 0)]
        self.assertIn(
            'two runs at once', self.find(first, [(4, 'start', 2)])[0]
        )

    def test_lease_of_a_life_ends_no_run_of_the_next(self):
        first = [(1, 'lease', 2), (3, 'exit', 0), (4, 'start', 1)]
        self.assertIn(
            'two runs at once', self.find(first, [(5, 'start', 2)])[0]
        )

    def test_start_after_an_acknowledged_end(self):
        first = [(1, 'start', 1), (2, 'ended', 5, 'done'), (4, 'acked', 5)]
        broken = self.find(first, [(3, 'start', 2)])
        self.assertIn('started after an end', broken[0])

    def test_end_that_was_not_acknowledged_is_allowed(self):
        first = [(1, 'start', 1), (2, 'ended', 5, 'done'), (4, 'acked', 4)]
        self.assertEqual([], self.find(first, [(3, 'start', 2)]))

    def test_lapse_between_end_and_acknowledgement_is_allowed(self):
        first = [
            (1, 'start', 1),
            (2, 'ended', 5, 'done'),
            (3, 'lapse', 0),
            (4, 'acked', 5),
        ]
        self.assertEqual([], self.find(first, [(5, 'start', 2)]))

    def test_failed_run_may_be_started_again(self):
        first = [(1, 'start', 1), (2, 'ended', 5, 'failed'), (3, 'acked', 5)]
        self.assertEqual([], self.find(first, [(4, 'start', 2)]))


class KilledWorkerTest(testtools.TestCase):
    """Guards against pairs of runs that only a late ``exit`` event shows."""

    def find(self, *events, later_at):
        rows = [
            {'worker': 'i-1', 'task': 't', 'run': 1, **event}
            for event in events
        ]
        later = {'at': later_at, 'what': 'start', 'worker': 'i-2'}
        return rig_oracle.find_breaks(
            {'a': rows, 'b': [{**later, 'task': 't', 'run': 2}]}
        )

    def test_ends_when_the_signal_has_been_sent(self):
        start = {'at': 1, 'what': 'start'}
        end = {'at': 3, 'what': 'exit', 'killed_at': 2}
        for later_at, count in ((1.9, 1), (2.1, 0), (3.1, 0)):
            self.assertEqual(
                count, len(self.find(start, end, later_at=later_at))
            )

    def test_goes_on_if_its_worker_wrote_an_event_later(self):
        start = {'at': 1, 'what': 'start'}
        heartbeat = {'at': 2.5, 'what': 'heartbeat'}
        end = {'at': 3, 'what': 'exit', 'killed_at': 2}
        for later_at, count in ((2.2, 1), (2.7, 1), (3.1, 0)):
            broken = self.find(start, heartbeat, end, later_at=later_at)
            self.assertEqual(count, len(broken))

    def test_ends_with_the_event_if_it_ended_by_itself(self):
        start = {'at': 1, 'what': 'start'}
        end = {'at': 3, 'what': 'exit'}
        for later_at, count in ((2.9, 1), (3.1, 0)):
            self.assertEqual(
                count, len(self.find(start, end, later_at=later_at))
            )

    def test_killed_process_executes_nothing(self):
        for _ in range(5):
            newest, killed_at = self.kill_spinner()
            self.assertGreater(newest, 0)
            self.assertLessEqual(newest, killed_at)

    def kill_spinner(self):
        with tempfile.NamedTemporaryFile() as file:
            file.write(bytes(32))
            file.flush()
            process = subprocess.Popen(
                [sys.executable, '-c', SPINNER, file.name]
            )
            with mmap.mmap(file.fileno(), 32) as data:
                while not all(struct.unpack('4d', data[:])):
                    time.sleep(0.01)
                process.kill()
                killed_at = time.monotonic()
                process.wait()
                return max(struct.unpack('4d', data[:])), killed_at


class HeldWorkerTest(testtools.TestCase):
    """Guards against a worker that nobody uses after a strange heartbeat."""

    def test_is_held(self):
        rows = [
            {'at': 1, 'what': 'lease', 'worker': 'i-1'},
            {'at': 3, 'what': 'lease', 'worker': 'i-2'},
            {'at': 4, 'what': 'heartbeat', 'worker': 'i-2'},
        ]
        other = {'at': 5, 'what': 'heartbeat', 'worker': 'i-3'}
        for events, since, held in (
            (rows, 2, True),
            (rows, 3, False),
            ([*rows, other], 2, False),
            ([], 0, False),
        ):
            self.assertEqual(held, rig_oracle.is_held(events, since))
