"""Choice among the work of callers of several availability zones.

Guards against the surge of one zone: the callers of another, who ask for no
more than their share, must be served as without it.
"""

import statistics

from hypothesis import given
from hypothesis import strategies as st
import testtools

from bench import overload
from bilberryhaven.overload import precedence
from bilberryhaven.overload import shares

ALLOWED_S = 10.0
DUE_AT = 100.0
ROOM = 1 / precedence.ROOM_SHARE
SEEDS = range(6)
WHOLE_ROOM_S = st.floats(0.1, 12)


def build_need(work, **fields):
    fields.setdefault('allowed_s', ALLOWED_S)
    fields.setdefault('value', work)
    return precedence.Need(due_at=DUE_AT, remaining_s=0.0, work=work, **fields)


class ShareTest(testtools.TestCase):
    """Room for ten seconds of work is left until the deadline."""

    def setUp(self):
        super().setUp()
        self.reset()

    def reset(self):
        self.ledger = shares.ShareLedger()
        self.needs = {}
        self.requests = {}

    def add(self, zone, *works, queue='surveys', memory=0.0, **fields):
        for work in works:
            key = f'{zone}-{queue}-{len(self.needs)}'
            self.needs[key] = build_need(work, **fields)
            self.requests[key] = shares.Request(
                zone=zone, queue=queue, memory=memory
            )

    def choose(self, now=DUE_AT):
        return shares.choose_ranks(
            self.needs,
            self.requests,
            shares.Room(cpu=ROOM, memory=ROOM),
            now,
            self.ledger,
        )

    def list_chosen(self, now=DUE_AT):
        return [key for key, rank in self.choose(now).items() if rank < 0]

    def sum_work(self, zone, **kwargs):
        return sum(
            self.needs[key].work
            for key in self.list_chosen(**kwargs)
            if self.requests[key].zone == zone
        )

    def test_nothing_changes_while_there_is_room(self):
        self.add('a', *[1.0] * 8)
        self.add('b', 1.0, 1.0)
        ranks = precedence.choose_ranks(self.needs, ROOM, DUE_AT)
        self.assertEqual(ranks, self.choose())
        self.assertEqual({}, self.ledger.delays)

    def test_nothing_changes_for_the_callers_of_one_zone(self):
        self.add('a', *[3.0] * 4, 1.0, value=3.0)
        self.add('a', 3.0, queue='dear')
        ranks = precedence.choose_ranks(self.needs, ROOM, DUE_AT)
        self.assertEqual(ranks, self.choose())
        self.add('', *[1.0] * 9)
        ranks = precedence.choose_ranks(self.needs, ROOM, DUE_AT)
        self.assertEqual(ranks, self.choose())

    def test_surge_of_one_zone_does_not_displace_another(self):
        """The work that surges costs its callers more if it is delayed."""
        for calm, surging in ((2, 8), (5, 5), (8, 5)):
            self.reset()
            self.add('surging', *[1.0] * 40, value=9.0)
            self.add('calm', *[1.0] * calm)
            self.assertEqual(min(calm, 5), self.sum_work('calm'))
            self.assertEqual(surging, self.sum_work('surging'))

    def test_all_room_is_used_when_the_calm_zone_asks_for_little(self):
        self.add('surging', *[1.0] * 40)
        self.add('calm', 1.0)
        self.assertEqual(10, len(self.list_chosen()))

    def test_zones_out_of_phase_each_get_what_the_other_leaves(self):
        """An idle zone isn't punished later, nor is one that used its room."""
        for first, second in (('a', 'b'), ('b', 'a'), ('a', 'b')):
            self.needs, self.requests = {}, {}
            self.add(first, *[1.0] * 20, value=9.0)
            self.assertEqual(10, self.sum_work(first))
            self.add(second, *[1.0] * 20)
            self.assertEqual(5, self.sum_work(second))

    def test_room_beyond_the_shares_goes_to_what_costs_least(self):
        self.add('a', *[1.0] * 20)
        self.add('b', *[1.0] * 20, value=9.0)
        self.add('calm', 1.0)
        self.assertEqual(
            [3, 6, 1], [self.sum_work(zone) for zone in ('a', 'b', 'calm')]
        )

    def test_huge_workflow_of_one_zone_displaces_nothing_of_another(self):
        self.add('huge', 9.0, value=99.0)
        self.add('calm', *[1.0] * 5)
        self.assertEqual(5, self.sum_work('calm'))
        self.assertEqual(0, self.sum_work('huge'))

    def test_huge_workflow_is_served_after_a_while(self):
        self.add('huge', 9.0)
        self.add('calm', *[1.0] * 10)
        served_at = None
        for second in range(40):
            for need in self.needs.values():
                need.due_at = DUE_AT + second
            if self.sum_work('huge', now=DUE_AT + second):
                served_at = served_at or second
        # Half of the room has paid for it after 18 s, less its own share.
        self.assertIn(served_at, range(8, 19))

    def test_credit_is_lost_by_a_zone_that_asks_for_nothing(self):
        self.add('huge', 9.0)
        self.add('calm', *[1.0] * 10)
        for second in range(8):
            self.list_chosen(DUE_AT + second / 100)
        self.assertTrue(self.ledger.report()['huge'].credit_s > 0)
        del self.needs['huge-surveys-0'], self.requests['huge-surveys-0']
        self.list_chosen(DUE_AT + 0.1)
        self.assertNotIn('huge', self.ledger.report())

    def test_weights_divide_the_room(self):
        self.ledger = shares.ShareLedger(weights={'heavy': 4.0})
        self.add('heavy', *[1.0] * 20)
        self.add('light', *[1.0] * 20, value=9.0)
        self.assertEqual(8, self.sum_work('heavy'))
        self.assertEqual(2, self.sum_work('light'))

    def test_within_a_zone_the_order_is_least_cost(self):
        self.add('a', *[1.0] * 5)
        self.add('a', *[1.0] * 5, value=9.0)
        self.add('b', *[1.0] * 20)
        chosen = [key for key in self.list_chosen() if key[0] == 'a']
        self.assertEqual([9.0] * 5, [self.needs[key].value for key in chosen])

    def test_dear_queue_of_a_zone_does_not_starve(self):
        self.add('a', 1.0, queue='dear', value=0.1)
        self.add('a', *[1.0] * 20)
        self.add('b', *[1.0] * 20)
        chosen = set()
        for second in range(60):
            for need in self.needs.values():
                need.due_at = DUE_AT + second
            chosen |= set(self.list_chosen(DUE_AT + second))
        self.assertIn('a-dear-0', chosen)

    def test_priority_comes_before_shares(self):
        self.add('a', *[1.0] * 20)
        self.add('b', *[1.0] * 20, priority=1)
        self.assertEqual(10, self.sum_work('a'))

    def test_share_is_that_of_the_dominant_resource(self):
        """Two pieces of wide work need half of the memory."""
        for memory, wide in ((0.0, 5), (2.5, 1)):
            self.reset()
            self.add('wide', *[0.5] * 20, memory=memory, value=0.1)
            self.add('calm', *[1.0] * 10)
            self.assertEqual(wide, self.sum_work('wide'))
            self.assertEqual(10 - wide, self.sum_work('calm'))

    def test_delay_tells_behind_whom(self):
        self.add('surging', *[1.0] * 40)
        self.add('calm', *[1.0] * 2)
        self.choose()
        self.assertEqual(32, len(self.ledger.delays))
        for delay in self.ledger.delays.values():
            self.assertEqual(shares.SHARE_USED_UP, delay.reason)
            self.assertEqual('surging', delay.zone)
            self.assertEqual(('calm', 'surging'), delay.behind)
        row = self.ledger.report()['surging']
        self.assertEqual((0.5, 32), (row.entitled, row.delayed))
        self.assertAlmostEqual(0.8, row.share)

    @given(
        st.dictionaries(
            st.sampled_from('abcd'),
            st.lists(st.tuples(st.floats(1, 50), WHOLE_ROOM_S), max_size=8),
            min_size=2,
        )
    )
    def test_zone_that_asks_for_its_share_is_served_whole(self, zones):
        """Whatever the others ask for, and until when."""
        self.reset()
        for zone, works in zones.items():
            for allowed_s, work in works:
                self.add(zone, work, allowed_s=allowed_s)
        chosen = self.list_chosen()
        count = sum(map(bool, zones.values()))
        for zone, works in zones.items():
            asked = sum(work / allowed_s for allowed_s, work in works)
            if works and asked < 0.999 / count:
                self.assertEqual(
                    len(works), sum(key[0] == zone for key in chosen)
                )


class LoadTest(testtools.TestCase):
    """The surge of one zone in ``bench.overload``."""

    def test_other_zones_get_more_than_without_shares(self):
        load = overload.LOADS['zone_surge']
        served = [
            statistics.mean(
                overload.share([job for job in jobs if job.zone != load.zone])
                for jobs in played
            )
            for played in (
                [overload.serve(load, build(), seed) for seed in SEEDS]
                for build in (
                    overload.build_divided_order,
                    lambda: overload.ORDERS['precedence'],
                )
            )
        ]
        self.assertTrue(served[0] > served[1], served)
