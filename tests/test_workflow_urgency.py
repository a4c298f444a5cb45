"""Order of best-effort workflows under a backlog.

Guards against a surge of surveys that can't all meet their deadlines: those
that still can must come first, and of these the ones that need the least work
for their value, so that most of them are finished rather than begun.
"""

import random

import testtools

from bilberryhaven.overload import precedence
from bilberryhaven.tables import workflow
from bilberryhaven.workflow import run_times
from bilberryhaven.workflow import urgency
from tests import workflow_fakes as fakes

RUN_S = 4.0


def build_survey(*, steps=1, tasks=2, cpu=1000, **fields):
    rows = [
        fakes.build_step(
            tasks=tasks,
            cpu=cpu,
            best_effort=True,
            after=[n - 1] if n else [],
        )
        for n in range(steps)
    ]
    return fakes.build_workflow(
        'w', *rows, slack_factor=2.0, latency_ms=1000, **fields
    )


class UrgencyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.times = run_times.RunTimes()
        self.times.record('surveys', RUN_S)
        self.ranker = urgency.ValueRanker(times=self.times)

    def rank(self, row, due_at, now, undone=None):
        if undone is None:
            undone = [step.tasks for step in row.steps]
        return self.ranker.find_rank(row, undone, due_at, now)

    def find_tier(self, *args, **kwargs):
        return int(self.rank(*args, **kwargs) // precedence.TIER)

    def test_deadline_is_the_queues_allowance_on_the_critical_path(self):
        for steps, deadline in ((1, 109), (2, 117)):
            row = build_survey(steps=steps)
            latest = deadline - RUN_S * steps
            self.assertEqual(0, self.find_tier(row, 100, latest))
            self.assertEqual(1, self.find_tier(row, 100, latest + 0.01))

    def test_workflow_in_time_precedes_an_earlier_one_that_is_late(self):
        earlier = self.rank(build_survey(), 100, 106)
        later = self.rank(build_survey(), 105, 106)
        self.assertTrue(later < earlier, (later, earlier))

    def test_workflow_that_is_too_late_comes_last(self):
        row = build_survey()
        self.assertEqual(1, self.find_tier(row, 100, 123))
        self.assertEqual(2, self.find_tier(row, 100, 123.01))

    def test_workflows_that_are_too_late_keep_their_order(self):
        first = self.rank(build_survey(tasks=50), 100, 200)
        second = self.rank(build_survey(), 105, 200)
        self.assertTrue(first < second, (first, second))

    def test_nearly_finished_workflow_precedes_a_new_one(self):
        row = build_survey(steps=2, tasks=4)
        begun = self.rank(row, 100, 101, undone=[0, 2])
        new = self.rank(build_survey(steps=2, tasks=4), 101, 101)
        self.assertTrue(begun < new, (begun, new))

    def test_wide_workflow_is_not_outweighed_by_its_width_alone(self):
        """Its value grows with its work, so it ranks near narrow ones."""
        for tasks in (2, 8, 40):
            self.ranker.record(build_survey(tasks=tasks))
        narrow = self.rank(build_survey(tasks=2), 100, 100)
        wide = self.rank(build_survey(tasks=40), 100, 100)
        self.assertTrue(narrow < wide < 6 * narrow, (narrow, wide))
        half_done = self.rank(build_survey(tasks=40), 100, 100, undone=[10])
        self.assertTrue(half_done < narrow, (half_done, narrow))

    def test_steps_that_are_done_need_no_time(self):
        row = build_survey(steps=2)
        self.assertEqual(1, self.find_tier(row, 100, 110))
        self.assertEqual(0, self.find_tier(row, 100, 110, undone=[0, 2]))

    def test_declared_run_time_is_used_until_one_is_measured(self):
        self.ranker = urgency.ValueRanker(times=run_times.RunTimes())
        row = build_survey()
        row.steps[0].estimate_ms = 3000
        self.assertEqual(0, self.find_tier(row, 100, 104))
        self.assertEqual(1, self.find_tier(row, 100, 104.01))


class SurgeTest(testtools.TestCase):
    """A surge of surveys of mixed sizes at a fleet of few slots.

    Each task takes one slot for ``RUN_S``; slots are given to the workflows
    in order of rank.
    """

    SLOTS = 40
    COUNT = 60
    SECONDS = 60

    def simulate(self, find_rank, seed):
        """Return the share of the workflows' value that was in time."""
        rng = random.Random(seed)
        rows = []
        for number in range(self.COUNT):
            row = build_survey(
                steps=rng.choice((1, 2, 3)), tasks=rng.randrange(2, 30)
            )
            row.id = f'w{number}'
            rows.append((row, rng.uniform(0, 20)))
        running = []
        done_at = {}
        for now in range(self.SECONDS):
            for run in [run for run in running if run[0] <= now]:
                running.remove(run)
                _, row, key = run
                row.tasks[key].done = True
                if row.is_done():
                    done_at[row.id] = now
            self.start_runs(rows, running, find_rank, now)
        return self.measure(rows, done_at)

    def start_runs(self, rows, running, find_rank, now):
        waiting = []
        for row, due_at in rows:
            if due_at > now or row.is_done():
                continue
            undone = [
                sum(
                    not row.find_task(f'0.{index}.{number}').done
                    for number in range(step.tasks)
                )
                for index, step in enumerate(row.steps)
            ]
            rank = find_rank(row, undone, due_at, now)
            for index, step in enumerate(row.steps):
                if any(undone[other] for other in step.after):
                    continue
                for number in range(step.tasks):
                    key = f'0.{index}.{number}'
                    if key not in row.tasks:
                        waiting.append((rank, row.id, number, row, key))
        waiting.sort(key=lambda item: item[:3])
        for *_, row, key in waiting[: self.SLOTS - len(running)]:
            row.tasks[key] = workflow.Task()
            running.append((now + RUN_S, row, key))

    def measure(self, rows, done_at):
        works = [sum(step.tasks for step in row.steps) for row, _ in rows]
        mean = sum(works) / len(works)
        earned = owed = 0.0
        for (row, due_at), work in zip(rows, works, strict=True):
            value = 0.3 + 0.7 * work / mean
            owed += value
            deadline = due_at + 1 + 2 * RUN_S * len(row.steps)
            if done_at.get(row.id, self.SECONDS) <= deadline:
                earned += value
        return earned / owed

    def compare(self, baseline):
        times = run_times.RunTimes()
        times.record('surveys', RUN_S)
        gains = []
        for seed in range(6):
            ranker = urgency.ValueRanker(times=times)
            mine = self.simulate(ranker.find_rank, seed)
            gains.append(mine - self.simulate(baseline, seed))
        return gains

    def test_more_value_is_in_time_than_first_come_first_served(self):
        gains = self.compare(lambda row, undone, due_at, now: due_at)
        self.assertTrue(min(gains) > 0, gains)

    def test_more_value_is_in_time_than_earliest_deadline_first(self):
        def find_deadline(row, undone, due_at, now):
            return due_at + 1 + 2 * RUN_S * len(row.steps)

        gains = self.compare(find_deadline)
        self.assertTrue(min(gains) > 0, gains)
