"""Forecast of the room in a pool.

Guards against surges, the swing of the spare CPU, zones withdrawn in a surge
and the backlog after an outage: a forecast must follow the room, and must not
exist before enough was measured, as after an election.
"""

import math

import testtools

from bilberryhaven.overload import forecast

START = 100.0
CPU = 10_000


def build_server(**fields):
    fields.setdefault('open', True)
    fields.setdefault('best_effort_cpu', 4_000)
    return forecast.ServerRoom(cpu=CPU, standing_cpu=2_000, **fields)


def build_waiting(priority, rank, work, *, best_effort=True, zone=''):
    return forecast.Waiting(
        priority=priority,
        rank=rank,
        work=work,
        best_effort=best_effort,
        zone=zone,
    )


class ForecastTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.forecaster = forecast.Forecaster(started_at=START)
        self.backlog = forecast.Backlog()

    def observe(self, servers, now):
        self.forecaster.observe(servers, now)
        return self.forecaster.build(self.backlog, now)

    def record_ends(self, count, now, work=1_000):
        for _ in range(count):
            self.forecaster.record_end(work, now, best_effort=True)

    def measure(self, servers, now=START + forecast.MIN_OBSERVED_S):
        self.record_ends(forecast.MIN_ENDS, now, work=0)
        return self.observe(servers, now)

    def test_unknown_until_measured_after_an_election(self):
        servers = [build_server()]
        self.record_ends(forecast.MIN_ENDS, START)
        later = START + forecast.MIN_OBSERVED_S
        self.assertFalse(self.observe(servers, later - 0.1).measured)
        self.assertTrue(self.observe(servers, later).measured)

    def test_unknown_while_few_tasks_have_ended_or_no_server_is_there(self):
        later = START + forecast.MIN_OBSERVED_S
        self.record_ends(forecast.MIN_ENDS - 1, START)
        self.assertFalse(self.observe([build_server()], later).measured)
        self.record_ends(1, START)
        self.assertFalse(self.observe([], later).measured)
        self.assertTrue(self.observe([build_server()], later).measured)

    def test_unknown_once_stale(self):
        known = self.measure([build_server()])
        stale_at = known.built_at + forecast.MAX_AGE_S
        self.assertTrue(known.is_known(stale_at))
        self.assertFalse(known.is_known(stale_at + 0.1))

    def test_closed_servers_count_for_the_upper_bound_only(self):
        """A zone is withdrawn, drains, warms up or is quarantined."""
        servers = [build_server(), build_server(open=False)]
        found = self.measure(servers)
        self.assertEqual(CPU - 2_000, found.claim_rate)
        self.assertEqual(2 * (CPU - 2_000), found.most_claim_rate)
        self.assertEqual(4_000, found.best_effort_rate)
        self.assertEqual(2 * CPU, found.most_best_effort_rate)

    def test_best_effort_rate_averages_the_swing(self):
        for second, cpu in enumerate((2_000, 4_000, 6_000)):
            server = build_server(best_effort_cpu=cpu)
            found = self.observe([server], START + second)
        self.assertEqual(4_000, found.best_effort_rate)
        self.assertEqual(2_000, found.low_best_effort_rate)

    def test_measured_rate_raises_the_upper_bound(self):
        self.measure([build_server()])
        now = START + 2 * forecast.WINDOW_S
        self.record_ends(200, now, work=1_000)
        found = self.observe([build_server()], now)
        self.assertEqual(
            200_000 / forecast.WINDOW_S, found.most_best_effort_rate
        )

    def test_finish_by_room_or_by_critical_path(self):
        found = self.measure([build_server()])
        for work, path_s, expected, earliest in (
            (40_000, 3.0, 10.0, 4.0),
            (8_000, 3.0, 3.0, 3.0),
        ):
            args = (work, path_s)
            self.assertEqual(
                expected, found.expect_finish(*args, best_effort=True)
            )
            self.assertEqual(
                earliest, found.find_earliest_finish(*args, best_effort=True)
            )

    def test_room_for_a_newcomer_that_may_wait(self):
        found = self.measure([build_server()])
        for spare_s, room_at in ((4.0, 6.0), (10.0, 0.0), (11.0, 0.0)):
            self.assertEqual(
                room_at, found.find_room_at(40_000, spare_s, best_effort=True)
            )

    def test_no_room_at_all_in_an_outage(self):
        found = self.measure([build_server(open=False)])
        self.assertEqual(
            math.inf, found.expect_finish(1, 0.0, best_effort=True)
        )


class BacklogTest(testtools.TestCase):
    def test_work_ahead_by_priority_and_rank(self):
        backlog = forecast.Backlog(
            [
                build_waiting(0, 5.0, 1),
                build_waiting(2, 1.0, 10),
                build_waiting(2, 3.0, 100),
                build_waiting(0, 1.0, 1000, best_effort=False),
            ]
        )
        for priority, rank, work in (
            (0, 5.0, 0),
            (2, 1.0, 1),
            (2, 2.0, 11),
            (2, 4.0, 111),
            (3, 0.0, 111),
        ):
            self.assertEqual(
                work, backlog.sum_ahead(priority, rank, best_effort=True)
            )
        self.assertEqual(1000, backlog.sum_ahead(1, 0.0, best_effort=False))
        self.assertEqual(1111, backlog.sum_work())

    def test_work_of_other_zones_leaves_the_share_of_a_zone(self):
        """The callers of zone a surge."""
        rows = [
            build_waiting(1, 5.0, 1000, zone='a'),
            build_waiting(0, 5.0, 100, zone='a'),
            build_waiting(1, 5.0, 10, zone='b'),
        ]
        backlog = forecast.Backlog(rows)
        weighted = forecast.Backlog(rows, weights={'b': 4.0})
        for found, zone, work in (
            (backlog, '', 1110),
            (backlog, 'a', 1110),
            (backlog, 'b', 100 + 2 * 10),
            (backlog, 'c', 100),
            (weighted, 'b', 100 + 10 / 0.8),
            (forecast.Backlog(rows[:2]), 'a', 1100),
        ):
            ahead = found.sum_ahead(1, 9.0, best_effort=True, zone=zone)
            self.assertEqual(work, ahead, zone)


class LimitsTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.limits = forecast.Limits(known_since=START)

    def test_size_and_label_must_be_met_by_one_server(self):
        self.limits.add(build_server(memory_mb=9), START)
        labelled = build_server(memory_mb=5, labels=frozenset({'fast'}))
        self.limits.add(labelled, START)
        for size, label, allowed in (
            ((CPU, 9, 0), '', True),
            ((CPU + 1, 9, 0), '', False),
            ((1, 10, 0), '', False),
            ((1, 5, 0), 'fast', True),
            ((1, 6, 0), 'fast', False),
            ((1, 1, 1), '', False),
            ((1, 1, 0), 'other', False),
        ):
            self.assertEqual(allowed, self.limits.allow(size, label))

    def test_settled_once_nothing_larger_has_come_for_long(self):
        wait_s = forecast.SETTLED_AFTER_S
        self.assertFalse(self.limits.is_settled(START + wait_s))
        self.limits.add(build_server(memory_mb=1), START + 1)
        self.limits.add(build_server(memory_mb=1), START + 9)
        self.assertFalse(self.limits.is_settled(START + 0.9 + wait_s))
        self.assertTrue(self.limits.is_settled(START + 1 + wait_s))
        self.limits.add(build_server(memory_mb=2), START + 1 + wait_s)
        self.assertFalse(self.limits.is_settled(START + 1 + wait_s))
