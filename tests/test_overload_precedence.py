"""Order of waiting work under overload.

Guards against surges of wide work, the swing of the spare CPU, a zone that is
withdrawn in a surge, and the backlog after an outage: more value must be in
time than by simpler orders, for the worst-served kind too.
"""

import statistics

from hypothesis import given
from hypothesis import strategies as st
import testtools

from bench import overload
from bilberryhaven.overload import precedence

SEEDS = range(6)
# Room in which the work chosen is done at a rate of 1.
RATE = 1 / precedence.ROOM_SHARE


def build_need(**fields):
    fields.setdefault('due_at', 100.0)
    fields.setdefault('allowed_s', 10.0)
    fields.setdefault('remaining_s', 4.0)
    fields.setdefault('work', 8.0)
    fields.setdefault('value', fields['work'])
    return precedence.Need(**fields)


def list_order(needs, rate=RATE, now=100.0):
    ranks = precedence.choose_ranks(needs, rate, now)
    return sorted(
        needs,
        key=lambda key: precedence.build_sort_key(
            needs[key].priority, ranks[key]
        ),
    )


class RankTest(testtools.TestCase):
    def test_outlook_by_elapsed_time(self):
        for now, outlook in ((106, 0), (106.1, 1), (126, 1), (126.1, 2)):
            self.assertEqual(
                outlook, precedence.find_outlook(build_need(), now)
            )

    def test_wait_counts(self):
        outlook = precedence.find_outlook(build_need(), 100, wait_s=6.1)
        self.assertEqual(precedence.Outlook.LATE, outlook)

    def test_all_work_that_fits_is_served_by_latest_start(self):
        needs = {
            'cheap': build_need(allowed_s=30.0, work=1.0, value=9.0),
            'pressing': build_need(allowed_s=12.0, value=1.0),
        }
        self.assertEqual(['pressing', 'cheap'], list_order(needs))

    def test_work_that_does_not_fit_is_delayed_by_its_value(self):
        """Room for ten seconds of work is left until the deadline."""
        needs = {
            'poor': build_need(work=6.0, value=6.0),
            'dear': build_need(work=6.0, value=12.0),
            'late': build_need(due_at=90.0, value=99.0),
            'lost': build_need(due_at=10.0, value=99.0),
        }
        self.assertEqual(['dear', 'poor', 'late', 'lost'], list_order(needs))

    def test_priority_comes_before_value(self):
        needs = {
            'dear': build_need(value=99.0, priority=1),
            'first': build_need(),
        }
        self.assertEqual(['first', 'dear'], list_order(needs))
        ranks = precedence.choose_ranks(needs, RATE, 100.0)
        self.assertTrue(ranks['first'] < 0 < ranks['dear'], ranks)

    def test_late_work_gives_way_to_lower_priorities(self):
        needs = {
            'late': build_need(due_at=90.0),
            'in time': build_need(priority=1),
        }
        self.assertEqual(['in time', 'late'], list_order(needs))

    def test_begun_work_is_not_delayed_for_a_small_gain(self):
        for value, first in ((9.0, 'begun'), (12.0, 'new')):
            needs = {
                'begun': build_need(begun=True),
                'new': build_need(value=value),
            }
            self.assertEqual(first, list_order(needs)[0])

    def test_without_room_the_order_is_by_value(self):
        needs = {
            'poor': build_need(allowed_s=8.0),
            'dear': build_need(value=9.0),
        }
        self.assertEqual(['dear', 'poor'], list_order(needs, rate=0.0))

    @given(
        st.lists(st.tuples(st.floats(0, 50), st.floats(0.1, 20)), max_size=12)
    )
    def test_chosen_work_is_in_time_by_earliest_deadline(self, items):
        needs = {
            number: build_need(
                due_at=100.0, allowed_s=allowed_s, remaining_s=0.0, work=work
            )
            for number, (allowed_s, work) in enumerate(items)
        }
        ranks = precedence.choose_ranks(needs, RATE, 100.0)
        now = 100.0
        for key in sorted(ranks, key=ranks.get):
            if ranks[key] < 0:
                now += needs[key].work
                deadline = needs[key].due_at + needs[key].allowed_s
                self.assertTrue(now <= deadline + 1e-6, (now, deadline))


class LoadTest(testtools.TestCase):
    """Each load of ``bench.overload``, against simpler orders."""

    def test_more_value_is_in_time_than_by_simpler_orders(self):
        for name, load in overload.LOADS.items():
            served = {
                order: statistics.mean(
                    overload.share(overload.serve(load, find_keys, seed))
                    for seed in SEEDS
                )
                for order, find_keys in overload.ORDERS.items()
                if order != 'value'
            }
            best = served.pop('precedence')
            self.assertTrue(best > max(served.values()), (name, best, served))
