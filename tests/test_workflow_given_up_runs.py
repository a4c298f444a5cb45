"""Log lines that lead from a task's id to the decision that ended its run."""

import logbook

from bilberryhaven.commands import workflow as workflow_commands
from tests import test_workflow_dispatcher as dispatcher_tests


class GivenUpRunTest(dispatcher_tests.DispatcherTest):
    def setUp(self):
        super().setUp()
        self.logs = logbook.TestHandler()
        self.logs.push_application()
        self.addCleanup(self.logs.pop_application)
        self.replace()
        self.submit('w1')
        self.first = self.poll()
        self.schedule()
        (order,) = self.poll(epoch=self.first.epoch).orders
        self.run = order.run

    def list_decisions(self, decision):
        return [
            record.extra
            for record in self.logs.records
            if record.extra.get('decision') == decision
        ]

    def check_line(self, **fields):
        (line,) = self.list_decisions('give run up')
        expected = {
            'workflow': 'w1',
            'task': self.run.task,
            'run': 1,
            'backend': self.first.key,
            'agent': 'i',
            'epoch': self.first.epoch,
            **fields,
        }
        self.assertEqual(expected, {key: line[key] for key in expected})

    def test_report_of_an_agent(self):
        self.report(
            self.first,
            lapsed=True,
            evidence='another incarnation answered',
            evidence_age_ms=1500,
        )
        self.check_line(
            evidence='another incarnation answered',
            evidence_age_s=1.5,
            session=self.first.feed,
            term=self.leader.term,
        )

    def test_lease_without_polls(self):
        self.advance(5.7)
        self.schedule()
        self.check_line(
            evidence='no poll of its agent',
            evidence_age_s=5.7,
            session=self.first.feed,
        )

    def test_ignored_end_names_the_run_that_superseded_it(self):
        self.report(self.first, lapsed=True)
        second = self.poll()
        self.schedule()
        end = workflow_commands.RunEnd(1, self.run, 'done')
        self.report(second, end)
        (line,) = self.list_decisions('ignore end')
        self.assertEqual([(2, second.key)], line['superseded_by'])
        self.assertEqual(2, line['last_run'])
