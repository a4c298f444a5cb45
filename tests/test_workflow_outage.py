"""Loss of power of many backend servers, beside tasks that crash theirs."""

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import backend as backend_commands
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.workflow import message
from bilberryhaven.workflow import outage
from tests import test_workflow_dispatcher
from tests import workflow_fakes as fakes

KEY = '0.0.0'


def build_refs(names):
    return [workflow_commands.RunRef(name, KEY, 1) for name in names]


class TestDetector(testtools.TestCase):
    def list_cleared(self, *crashes):
        """Return which suspects, as WORKFLOW@SERVER, each crash clears.

        Args:
            crashes: (time in seconds, workflows suspected) of servers a, b...
        """
        detector = outage.OutageDetector()
        cleared = []
        for key, (at, names) in zip('abcde', crashes, strict=False):
            found = detector.record(key, build_refs(names), clocks.seconds(at))
            cleared.append(
                ' '.join(f'{s.workflow}@{s.backend}' for s in found)
            )
        return cleared

    def test_crashes(self):
        for expected, crashes in (
            # A power loss; some of the servers had started nothing.
            (['', 'v@b', 'v@b'], [(0, ''), (0, 'v'), (0.1, '')]),
            # Under load, all of them had started something.
            (['', 'w@b v@a', 'x@c v@a w@b'], [(0, 'v'), (0, 'w'), (0.1, 'x')]),
            # Faults of single servers, far apart.
            (['', '', ''], [(0, 'v'), (0.2, 'w'), (9, 'v')]),
            # A task crashed a server, and the next one soon after; another
            # task was only started beside it.
            (['', 'v@a'], [(0, 'vw'), (0.1, 'w')]),
            # The crash of another server explains both.
            (['', '', 'w@a w@b'], [(0, 'w'), (0.1, 'w'), (0.15, '')]),
            # The first report of an outage may be the last one to arrive.
            (['', 'v@b'], [(0.1, ''), (0, 'v')]),
            # A later crash elsewhere may be reported in between.
            (['', '', 'x@c v@a'], [(0, 'v'), (2, 'w'), (0.1, 'x')]),
        ):
            self.assertEqual(expected, self.list_cleared(*crashes))


class TestClearSuspects(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = fakes.World('a', 'b')
        for name in 'vw':
            self.world.submit(fakes.build_workflow(name, fakes.build_step()))
        for number, server in enumerate('ab', 1):
            refs = [
                workflow_commands.RunRef(name, KEY, number) for name in 'vw'
            ]
            for name in 'vw':
                self.world.start(name, KEY, number, server)
            self.world.apply(
                backend_commands.CloseBackend(
                    key=server, at=4, reason='test', suspects=refs
                )
            )

    def find_counts(self, name):
        task = self.world.find(name).find_task(KEY)
        return task.crashes, ''.join(task.suspected_on)

    def test_task_is_cleared_of_one_crash(self):
        """The crash still counts for the limit on all crashes under it."""
        row = workflow_commands.Suspicion('w', KEY, 'b')
        command = workflow_commands.ClearSuspects(suspicions=[row])
        self.assertEqual(1, self.world.apply(command))
        self.assertEqual((2, 'a'), self.find_counts('w'))
        self.assertEqual((2, 'ab'), self.find_counts('v'))

    def test_entry_of_an_earlier_version_clears_servers(self):
        command = workflow_commands.ClearSuspects(backends=['a', 'b'])
        self.assertEqual(2, self.world.apply(command))
        self.assertEqual((2, ''), self.find_counts('w'))


class TestPowerLoss(test_workflow_dispatcher.DispatcherTest):
    """All servers crash at once, some of them with new runs."""

    def test_no_task_is_suspected(self):
        self.replace()
        polls = [self.poll(f'i{number}') for number in range(6)]
        for first in polls:
            self.report(first)
        self.submit('w1', fakes.build_step(tasks=2, cpu=64_000))
        self.schedule()
        row = self.state.workflows.find('w1')
        started = {
            task.runs[0].backend: message.StartedRun(
                workflow_commands.RunRef('w1', key, 1), 20
            )
            for key, task in row.tasks.items()
        }
        for first in polls:
            runs = [row for key, row in started.items() if key == first.key]
            self.report(first, lapsed=True, crashed=True, started=runs)
        self.assertEqual(2, len(row.tasks))
        for task in row.tasks.values():
            self.assertEqual((1, []), (task.crashes, task.suspected_on))
            self.assertFalse(task.is_suspect)
