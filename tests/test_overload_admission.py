"""Admission under overload.

Guards against a backlog that grows without bound in a surge or an outage, and
against rejections that harm callers: of what could be served, of what was
accepted before, and of what is unknown after an election.
"""

import math

import testtools

from bilberryhaven.overload import admission
from bilberryhaven.overload import forecast
from bilberryhaven.overload import precedence
from bilberryhaven.overload import returns

NOW = 1000.0
CPU = 10_000
ENTRIES = 4
SIZE_BYTES = 1_000
ALLOWED_S = 10.0
# Latest useful end, with the margin of admission.
LATEST_S = ALLOWED_S * precedence.MAX_LATENESS * admission.MARGIN
REASON = admission.Reason


def build_forecast(
    work=0.0, *, built_at=NOW, measured=True, rank=-1.0, zone=''
):
    waiting = forecast.Waiting(
        priority=0, rank=rank, work=work, best_effort=True, zone=zone
    )
    return forecast.Forecast(
        built_at=built_at,
        measured=measured,
        backlog=forecast.Backlog([waiting]),
        claim_rate=CPU,
        best_effort_rate=CPU / 2,
        most_claim_rate=CPU,
        most_best_effort_rate=CPU,
        low_best_effort_rate=0.0,
    )


def build_limits(now=NOW - forecast.SETTLED_AFTER_S):
    limits = forecast.Limits(known_since=now)
    server = forecast.ServerRoom(
        open=True, cpu=CPU, memory_mb=100, labels=frozenset({'fast'})
    )
    limits.add(server, now)
    return limits


def build_newcomer(key='w', **fields):
    need = precedence.Need(
        due_at=NOW,
        allowed_s=fields.pop('allowed_s', ALLOWED_S),
        remaining_s=4.0,
        work=5_000.0,
        value=5_000.0,
    )
    fields.setdefault('sizes', (((CPU, 100, 0), 'fast'),))
    fields.setdefault('has_deadline', True)
    fields.setdefault('line', 'pool')
    return admission.Newcomer(key=key, need=need, best_effort=True, **fields)


class AdmissionTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        bounds = admission.Bounds(entries=ENTRIES, size_bytes=SIZE_BYTES)
        self.admission = admission.Admission(bounds=bounds)

    def decide(
        self, newcomer=None, *, entries=0, limits=None, known=None, now=NOW
    ):
        return self.admission.decide(
            newcomer or build_newcomer(),
            admission.Usage(entries=entries, size_bytes=0),
            limits or build_limits(),
            known or build_forecast(built_at=now),
            now,
        )

    def check(self, reason, *args, **kwargs):
        decision = self.decide(*args, **kwargs)
        self.assertEqual(reason, decision.reason)
        return decision

    def test_accepted_with_the_expected_finish(self):
        decision = self.check(None, known=build_forecast(35_000))
        self.assertEqual(35_000, decision.work_ahead)
        self.assertEqual(8.0, decision.finish_s)

    def test_late_work_is_accepted(self):
        work = CPU * LATEST_S - 5_000
        self.check(None, known=build_forecast(work))

    def test_work_that_ends_too_late_in_any_case_is_rejected(self):
        work = CPU * LATEST_S - 4_000
        decision = self.check(REASON.TOO_LATE, known=build_forecast(work))
        self.assertTrue(30 <= decision.retry_after_s <= 60, decision)

    def test_surge_of_one_zone_does_not_reject_work_of_another(self):
        known = build_forecast(CPU * LATEST_S - 4_000, zone='a')
        self.check(REASON.TOO_LATE, build_newcomer(zone='a'), known=known)
        calm = build_newcomer('calm', zone='b')
        self.assertEqual(0.0, self.check(None, calm, known=known).work_ahead)

    def test_retry_after_is_when_a_newcomer_would_be_in_time(self):
        """The work ahead takes 10 s, and the newcomer may wait for 6 s."""
        known = build_forecast(10 * CPU / 2)
        full = self.check(REASON.BACKLOG_FULL, known=known, entries=ENTRIES)
        self.assertEqual(4, full.retry_after_s)

    def test_work_that_costs_less_to_delay_is_not_ahead(self):
        known = build_forecast(1e9, rank=2.0)
        self.assertEqual(0.0, self.check(None, known=known).work_ahead)

    def test_no_work_is_too_late_while_the_forecast_is_unknown(self):
        """A new leader has measured nothing, or measures no more."""
        stale_at = NOW - forecast.MAX_AGE_S - 1
        for known in (
            build_forecast(1e9, measured=False),
            build_forecast(1e9, built_at=stale_at),
        ):
            self.admission.clear()
            self.assertIsNone(self.check(None, known=known).finish_s)

    def test_only_work_with_a_deadline_is_too_late(self):
        known = build_forecast(1e9)
        self.check(None, build_newcomer(has_deadline=False), known=known)
        self.check(None, build_newcomer('v', allowed_s=0.0), known=known)

    def test_backlog_bound_in_entries_and_bytes(self):
        self.check(None, entries=ENTRIES - 1)
        full = build_newcomer('v')
        self.check(REASON.BACKLOG_FULL, full, entries=ENTRIES)
        large = build_newcomer('x', size_bytes=SIZE_BYTES + 1)
        self.check(REASON.BACKLOG_FULL, large)

    def test_bound_holds_while_the_forecast_is_unknown(self):
        known = build_forecast(measured=False)
        self.check(REASON.BACKLOG_FULL, entries=ENTRIES, known=known)

    def test_larger_than_any_server_or_without_the_label(self):
        for sizes in (
            (((CPU + 1, 1, 0), ''),),
            (((1, 101, 0), ''),),
            (((1, 1, 1), ''),),
            (((1, 1, 0), 'other'),),
            (((1, 1, 0), ''), ((CPU, 101, 0), '')),
        ):
            newcomer = build_newcomer(str(sizes), sizes=sizes)
            self.check(REASON.UNPLACEABLE, newcomer)

    def test_placement_is_not_judged_before_the_servers_are_known(self):
        sizes = (((1, 1, 0), 'other'),)
        for limits in (build_limits(NOW), forecast.Limits(known_since=0)):
            self.admission.clear()
            self.check(None, build_newcomer(sizes=sizes), limits=limits)

    def test_accepted_id_is_not_rejected_by_a_resend(self):
        """Its commit may be unknown, and succeed after the resend."""
        self.check(None)
        later = NOW + admission.SENT_RETENTION_S
        self.check(None, entries=ENTRIES, now=later)
        self.check(REASON.BACKLOG_FULL, entries=ENTRIES, now=later + 1)

    def test_rejected_id_is_not_accepted_before_its_return(self):
        """An earlier request for it may arrive after its rejection."""
        first = self.check(REASON.BACKLOG_FULL, entries=ENTRIES)
        again = self.check(REASON.BACKLOG_FULL, now=NOW + 0.5)
        self.assertEqual(first.retry_after_s, again.retry_after_s)
        self.check(None, now=NOW + first.retry_after_s)

    def test_work_that_fits_on_no_server_does_not_delay_the_others(self):
        """The load: many jobs that can never be done, beside a surge."""
        expected = self.check(REASON.BACKLOG_FULL, entries=ENTRIES)
        self.admission.clear()
        for number in range(20):
            newcomer = build_newcomer(str(number), sizes=(((1, 1, 0), 'x'),))
            told = self.check(REASON.UNPLACEABLE, newcomer)
            self.assertEqual(admission.UNPLACEABLE_WAIT_S, told.retry_after_s)
        told = self.check(REASON.BACKLOG_FULL, entries=ENTRIES)
        self.assertEqual(expected.retry_after_s, told.retry_after_s)

    def test_new_term_forgets_outcomes(self):
        self.check(REASON.BACKLOG_FULL, entries=ENTRIES)
        self.admission.clear()
        self.check(None)

    def test_returning_caller_precedes_a_newcomer(self):
        told = self.check(REASON.BACKLOG_FULL, entries=ENTRIES)
        back_at = NOW + told.retry_after_s
        newcomer = build_newcomer('new')
        rest = {'entries': ENTRIES - 1, 'now': back_at}
        self.check(REASON.BACKLOG_FULL, newcomer, **rest)
        self.check(None, **rest)

    def test_place_of_a_caller_that_stays_away_is_given_up(self):
        told = self.check(REASON.BACKLOG_FULL, entries=ENTRIES)
        later = NOW + told.retry_after_s + returns.KEPT_FOR_S + 0.1
        newcomer = build_newcomer('new')
        self.check(None, newcomer, entries=ENTRIES - 1, now=later)


class ReturnScheduleTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.schedule = returns.ReturnSchedule()

    def add(self, key, wait_s, spacing_s=0.0, line='pool'):
        return self.schedule.add(
            key,
            'full',
            line=line,
            wait_s=wait_s,
            spacing_s=spacing_s,
            now=NOW,
        )

    def test_callers_return_one_after_the_other(self):
        waits = [self.add(str(n), 2.0, 0.5) for n in range(5)]
        self.assertEqual([2, 3, 3, 4, 4], waits)

    def test_callers_for_other_room_do_not_wait_for_each_other(self):
        self.assertEqual(2, self.add('a', 2.0, 30.0))
        self.assertEqual(2, self.add('b', 2.0, 30.0, line='other'))

    def test_far_return_time_does_not_delay_later_callers(self):
        for wait_s, spacing_s in ((1e9, 1.0), (math.inf, math.inf)):
            self.add(str(wait_s), wait_s, spacing_s)
            self.assertEqual(2, self.add(f'{wait_s}-next', 2.0))

    def test_without_any_room_callers_are_told_to_return_late(self):
        self.add('a', 2.0, math.inf)
        self.assertTrue(self.add('b', 2.0) >= returns.MAX_RETRY_AFTER_S / 2)

    def test_at_least_a_second_and_whole_seconds_rounded_up(self):
        self.assertEqual(1, self.add('a', 0.0))
        self.assertEqual(3, self.add('b', 2.1))

    def test_far_return_times_are_spread(self):
        most = returns.MAX_RETRY_AFTER_S
        waits = {self.add(str(n), 1e9) for n in range(50)}
        self.assertTrue(most / 2 <= min(waits), waits)
        self.assertTrue(max(waits) <= most, waits)
        self.assertTrue(len(waits) > 10, waits)

    def test_number_of_callers_is_bounded(self):
        for number in range(returns.MAX_CALLERS + 1):
            self.add(str(number), 1.0)
        self.assertIsNone(self.schedule.find('0', NOW))
        self.assertEqual(('full', 1), self.schedule.find('1', NOW))
