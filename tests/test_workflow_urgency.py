"""Order of best-effort workflows under a backlog.

Guards against a burst of surveys that can't all meet their deadlines: those
that still can must come first, even if others were submitted before them.
"""

import testtools

from bilberryhaven.workflow import stragglers
from bilberryhaven.workflow import urgency
from tests import workflow_fakes as fakes


def build_survey(*, steps=1, **fields):
    rows = [
        fakes.build_step(tasks=2, best_effort=True, after=[n - 1] if n else [])
        for n in range(steps)
    ]
    return fakes.build_workflow(
        'w', *rows, slack_factor=2.0, latency_ms=1000, **fields
    )


class UrgencyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.times = stragglers.RunTimes()
        self.times.record('surveys', 4.0)
        self.urgency = urgency.DeadlineRanker(times=self.times)

    def rank(self, row, due_at, now):
        return self.urgency.find_rank(row, due_at, now)

    def test_deadline_is_the_queues_allowance_on_the_critical_path(self):
        self.assertEqual(109.0, self.rank(build_survey(), 100, 100))
        self.assertEqual(117.0, self.rank(build_survey(steps=2), 100, 100))

    def test_workflow_in_time_precedes_an_earlier_one_that_is_late(self):
        earlier = self.rank(build_survey(), 100, 106)
        later = self.rank(build_survey(), 105, 106)
        self.assertTrue(later < earlier, (later, earlier))

    def test_short_chain_precedes_a_long_one_with_the_same_due_time(self):
        short = self.rank(build_survey(), 100, 101)
        long = self.rank(build_survey(steps=3), 100, 101)
        self.assertTrue(short < long, (short, long))

    def test_steps_that_are_done_need_no_time(self):
        row = build_survey(steps=2)
        self.assertTrue(self.rank(row, 100, 110) > urgency.LATE_PENALTY_S)
        for index in range(2):
            task = row.find_task(f'0.0.{index}')
            task.done = True
            row.tasks[f'0.0.{index}'] = task
        self.assertEqual(117.0, self.rank(row, 100, 110))

    def test_late_workflows_keep_their_order(self):
        first = self.rank(build_survey(), 100, 200)
        second = self.rank(build_survey(), 105, 200)
        self.assertTrue(urgency.LATE_PENALTY_S < first < second)

    def test_declared_run_time_is_used_until_one_is_measured(self):
        order = urgency.DeadlineRanker(times=stragglers.RunTimes())
        row = build_survey()
        row.steps[0].estimate_ms = 3000
        self.assertEqual(107.0, order.find_rank(row, 100, 100))
