"""Loss of power of many backend servers, beside tasks that crash theirs."""

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import backend as backend_commands
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.workflow import outage
from tests import test_workflow_dispatcher
from tests import workflow_fakes as fakes

KEY = '0.0.0'
IDLE = ()
BUSY = ('run',)


class TestDetector(testtools.TestCase):
    def find_outages(self, *crashes):
        detector = outage.OutageDetector()
        found = [
            detector.record(f's{number}', suspects, clocks.seconds(at))
            for number, (at, suspects) in enumerate(crashes)
        ]
        return found[-1], detector.take_suspected()

    def test_crashes(self):
        for expected, crashes in (
            # A power loss: some of the servers had started nothing.
            ((True, ['s1']), [(0, IDLE), (0, BUSY), (1, IDLE), (1, IDLE)]),
            # Tasks of one workflow crash their servers together.
            ((False, ['s0', 's1', 's2']), [(0, BUSY), (0, BUSY), (0, BUSY)]),
            # Faults of single servers, far apart.
            ((False, []), [(0, IDLE), (2, IDLE), (5, IDLE)]),
            ((False, ['s3']), [(0, IDLE), (1, IDLE), (9, IDLE), (9, BUSY)]),
            # A task crashed servers before the power loss, too.
            (
                (True, ['s1']),
                [(0, BUSY), (2, BUSY), (3, IDLE), (3, IDLE), (3, IDLE)],
            ),
        ):
            self.assertEqual(expected, self.find_outages(*crashes))

    def test_suspects_are_taken_once(self):
        detector = outage.OutageDetector()
        for number, suspects in enumerate((BUSY, IDLE, IDLE, IDLE, BUSY)):
            detector.record(f's{number}', suspects, clocks.seconds(1))
        self.assertEqual(['s0'], detector.take_suspected())
        self.assertEqual([], detector.take_suspected())


class TestClearSuspects(testtools.TestCase):
    def test_crashes_of_an_outage_no_longer_count(self):
        world = fakes.World('a', 'b')
        world.submit(fakes.build_workflow('w', fakes.build_step()))
        for number, server in enumerate(('a', 'b'), 1):
            world.start('w', KEY, number, server)
            ref = workflow_commands.RunRef('w', KEY, number)
            # Another workflow's task may be the cause as well, so that the
            # second crash isn't certainly this task's own.
            world.submit(fakes.build_workflow('v', fakes.build_step()))
            world.start('v', KEY, number, server)
            other = workflow_commands.RunRef('v', KEY, number)
            world.apply(
                backend_commands.CloseBackend(
                    key=server, at=4, reason='test', suspects=[ref, other]
                )
            )
        for backends, expected in ((['b'], 1), (['a', 'b'], 0)):
            cleared = workflow_commands.ClearSuspects(backends=backends)
            self.assertEqual(2, world.apply(cleared))
            task = world.find('w').find_task(KEY)
            counts = (task.crashes, len(task.suspected_on))
            self.assertEqual((expected, expected), counts)


class TestPowerLoss(test_workflow_dispatcher.DispatcherTest):
    """All servers crash at once, some of them with new runs."""

    def test_no_task_is_suspected(self):
        self.replace()
        polls = [self.poll(f'i{number}') for number in range(6)]
        for first in polls:
            self.report(first)
        self.submit('w1', fakes.build_step(tasks=2, cpu=64_000))
        self.schedule()
        for first in polls:
            self.report(first, lapsed=True, crashed=True)
        row = self.state.workflows.find('w1')
        self.assertEqual(2, len(row.tasks))
        for task in row.tasks.values():
            self.assertEqual((0, []), (task.crashes, task.suspected_on))
