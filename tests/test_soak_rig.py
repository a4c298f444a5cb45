"""Tests of the rig's verdict; each case is one that it must tell apart."""

import testtools

from soak import rig_oracle


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
