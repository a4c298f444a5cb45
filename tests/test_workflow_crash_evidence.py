"""Crashes of backend servers that no task has caused, as agents see them."""

import contextlib

from bilberryhaven import errors
from bilberryhaven.tables import workflow
from bilberryhaven.workflow import agent
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from bilberryhaven.workflow import server_client
from tests import test_workflow_dispatcher
from tests import workflow_fakes as fakes

ACTIVE = workflow.WorkflowState.ACTIVE
KEY = '0.0.0'


class FakeServer(server_client.ServerClient):
    """Backend server whose connections are refused after a crash.

    Attributes:
        crashed: Whether it is down.
        running: Runs that it has started.
    """

    def __init__(self, clock):
        self._clock = clock
        self.crashed = False
        self.running = []
        self._cut = False

    def cut(self):
        """Close the connection of the next call."""
        self._cut = True

    def _check(self):
        if self._cut:
            self._cut = False
            raise errors.CutOffError('closed', step='test', peer='s')
        if self.crashed:
            raise errors.GoneError('refused', step='test', peer='s')

    def start_run(self, target, order, *, deadline_ms, epoch):
        self._check()
        self.running.append(order.run)
        return server_client.StartResult.STARTED

    def stop_run(self, target, run, *, epoch):
        self._check()

    def pace_run(self, target, run, *, percent, epoch):
        self._check()

    def hold(self, target, *, deadline_ms, epoch, acked, wait_ms):
        self._check()
        return server_client.Listing(
            clock_ms=int(self._clock.monotonic().total_seconds() * 1000),
            born_ms=0,
            running=[message.Running(run) for run in self.running],
            ends=[],
        )

    def close(self):
        pass


class Node:
    """An agent that does one step at a time, and its backend server.

    Args:
        test: The ``DispatcherTest`` with the leader.
        name: Name of the instance.
    """

    def __init__(self, test, name):
        self._name = name
        self._test = test
        self._life = 0
        self._orders = []
        self._cut_off = False
        self._lost_reports = 0
        self.server = FakeServer(test.clock)
        self.agent = agent.WorkflowAgent(
            name=name,
            gateway=self,
            client=self.server,
            clock=test.clock,
            options=options.Options(),
        )
        self.agent._actors = [self] * agent.ORDER_ACTOR_COUNT
        # No call waits for the next one.
        self.agent._stopping.wait = lambda seconds: None
        self.restart()

    def restart(self):
        self._life += 1
        self.server.crashed = False
        self.server.running = []
        self.agent.handle_announcement(
            server_client.Announcement(
                state=message.ServerState(
                    id=f's-{self._name}',
                    born_ms=self._life,
                    pool=fakes.POOL,
                    cpu=64_000,
                    memory_mb=256_000,
                ),
                address='127.0.0.1:1',
                sequence=1,
            )
        )

    @contextlib.contextmanager
    def cut_from_leader(self):
        """Let requests to the leader fail."""
        self._cut_off = True
        yield
        self._cut_off = False

    def lose_reports(self, count):
        """Let the next reports to the leader fail."""
        self._lost_reports = count

    def send(self, request, *, timeout, step):
        """Send a request to the leader, as a ``Gateway`` does."""
        if self._lost_reports and isinstance(request, message.Report):
            self._lost_reports -= 1
            raise errors.PeerError('no answer', step=step, peer='leader')
        if self._cut_off:
            raise errors.PeerError('no answer', step=step, peer='leader')
        return self._test.ask(request)

    def tell(self, execute):
        """Keep an order until ``execute_orders``, as a busy actor does."""
        self._orders.append(execute)

    def list_runs(self):
        self.agent._renew_lease()

    def open(self):
        self.list_runs()
        self.agent._poll()
        self.list_runs()

    def take_orders(self):
        self.agent._poll()

    def execute_orders(self):
        orders, self._orders = self._orders, []
        for execute in orders:
            execute()

    def crash(self):
        self.server.crashed = True


class CrashEvidenceTest(test_workflow_dispatcher.DispatcherTest):
    def setUp(self):
        super().setUp()
        self.replace()

    def add_node(self, name):
        node = Node(self, name)
        node.open()
        return node

    def start_everything(self, node):
        self.schedule()
        node.take_orders()
        node.execute_orders()

    def count_crashes(self, name='w1'):
        return self.state.workflows.find(name).find_task(KEY).crashes

    def test_task_that_a_server_started_is_suspected(self):
        """A deadly task must be found: its server answers, then crashes."""
        node = self.add_node('i')
        self.submit('w1')
        self.start_everything(node)
        node.crash()
        node.list_runs()
        self.assertEqual(1, self.count_crashes())

    def test_order_that_never_reached_the_agent_is_not_suspected(self):
        """Guards against failed workflows whose tasks had never started."""
        node = self.add_node('i')
        self.submit('w1')
        self.schedule()
        node.crash()
        node.list_runs()
        self.assertEqual(0, self.count_crashes())

    def test_order_that_waits_for_a_listing_is_not_suspected(self):
        """Guards against failed workflows whose tasks had never started."""
        node = Node(self, 'i')
        node.list_runs()
        self.submit('w1')
        node.take_orders()
        self.schedule()
        node.take_orders()
        node.crash()
        node.list_runs()
        self.assertEqual(0, self.count_crashes())

    def test_order_for_an_ended_incarnation_is_not_suspected(self):
        """Guards against the same if the agent first sees the next one."""
        node = self.add_node('i')
        self.submit('w1')
        self.schedule()
        node.crash()
        self.advance(2)
        node.restart()
        node.open()
        self.assertEqual(0, self.count_crashes())

    def test_new_leader_suspects_no_run_at_work(self):
        """Guards against runs that seem new to a leader without listings."""
        node = self.add_node('i')
        self.submit('w1', fakes.build_step(long_running=True))
        self.start_everything(node)
        for _ in range(3):
            self.advance(1)
            node.list_runs()
        self.replica.term = 2
        node.crash()
        node.list_runs()
        self.assertEqual(0, self.count_crashes())

    def play_wave(self, nodes):
        """Start all tasks, crash the servers at once, restart them."""
        self.schedule()
        for node in nodes:
            node.take_orders()
            node.execute_orders()
            node.list_runs()
        for node in nodes:
            node.crash()
        self.advance(0.1)
        for node in nodes:
            node.list_runs()
        self.advance(2)
        for node in nodes:
            node.restart()
            node.open()

    def test_servers_that_crash_together_fail_no_workflow(self):
        """Guards against verdicts on tasks that waves of crashes hit."""
        nodes = [self.add_node(name) for name in 'ijkl']
        for number in range(4):
            self.submit(f'w{number}', fakes.build_step(cpu=40_000))
        for _ in range(3):
            self.play_wave(nodes)
            states = {self.state.workflows.find(f'w{n}').state for n in '0123'}
            self.assertEqual({ACTIVE}, states)

    def test_task_at_work_is_no_longer_suspected(self):
        """Guards against a suspicion that outlives its disproof."""
        node = self.add_node('i')
        self.submit('w1', fakes.build_step(long_running=True))
        self.start_everything(node)
        node.crash()
        node.list_runs()
        node.restart()
        node.open()
        self.start_everything(node)
        for _ in range(4):
            node.list_runs()
            self.advance(1)
            self.schedule()
        task = self.state.workflows.find('w1').find_task(KEY)
        self.assertEqual((0, []), (task.crashes, task.suspected_on))

    def crash_alone_twice(self, node):
        for _ in range(2):
            self.start_everything(node)
            node.crash()
            node.list_runs()
            self.advance(10)
            node.restart()
            node.open()

    def test_single_crashes_far_apart_fail_no_workflow(self):
        """Guards against a verdict after two crashes by chance."""
        node = self.add_node('i')
        self.submit('w1')
        self.crash_alone_twice(node)
        self.assertEqual(ACTIVE, self.state.workflows.find('w1').state)

    def test_known_outage_does_not_fail_a_workflow(self):
        """Guards against a verdict that a known outage had to prevent."""
        node = self.add_node('i')
        self.submit('w1')
        self.crash_alone_twice(node)
        self.start_everything(node)
        other = self.add_node('j')
        for crashed in (other, node):
            crashed.crash()
        for crashed in (other, node):
            crashed.list_runs()
        row = self.state.workflows.find('w1')
        task = row.find_task(KEY)
        self.assertEqual(ACTIVE, row.state)
        self.assertEqual((3, 2), (task.crashes, len(task.suspected_on)))

    def test_report_of_a_crash_precedes_the_next_session(self):
        """Guards against deadly tasks whose crashes no leader learns of."""
        node = self.add_node('i')
        self.submit('w1')
        self.start_everything(node)
        node.crash()
        with node.cut_from_leader():
            node.list_runs()
        node.restart()
        node.list_runs()
        node.lose_reports(1)
        for _ in range(2):
            node.take_orders()
        self.assertEqual(1, self.count_crashes())

    def test_lost_reports_do_not_keep_a_server_away(self):
        """Guards against servers without a session while reports fail."""
        node = self.add_node('i')
        node.crash()
        node.lose_reports(100)
        node.list_runs()
        node.restart()
        node.list_runs()
        self.advance(2)
        node.take_orders()
        self.assertIsNotNone(self.leader._memory.sessions.find('s-i@2'))
        keys = [row.key for row in self.state.backends]
        self.assertEqual(['s-i@1', 's-i@2'], keys)
        self.submit('w1')
        self.schedule()
        runs = self.state.workflows.find('w1').list_runs()
        self.assertEqual(['s-i@2'], [run.backend for _, run in runs])
        # Nothing but its lease shows the leader that the former has ended.
        for _ in range(4):
            self.advance(1)
            node.take_orders()
            self.schedule()
        keys = [row.key for row in self.state.backends]
        self.assertEqual(['s-i@2'], keys)

    def test_report_that_was_held_up_has_the_time_of_the_crash(self):
        """Guards against outages that aren't recognised while none leads."""
        nodes = [self.add_node(name) for name in 'ij']
        self.submit('w1')
        self.schedule()
        for node in nodes:
            node.take_orders()
            node.execute_orders()
        for node in nodes:
            node.crash()
            with node.cut_from_leader():
                node.list_runs()
        for node in nodes:
            self.advance(1)
            node.list_runs()
        task = self.state.workflows.find('w1').find_task(KEY)
        self.assertEqual((1, []), (task.crashes, task.suspected_on))


class CutOffTest(test_workflow_dispatcher.DispatcherTest):
    def test_connection_is_tried_again_at_once_after_a_cut(self):
        """Guards against work sent to a crashed server for 0.1 s more."""
        self.replace()
        node = Node(self, 'i')
        node.open()
        waits = []
        node.agent._stopping.wait = waits.append
        node.server.cut()
        node.list_runs()
        self.assertEqual([], waits)
        node.crash()
        node.list_runs()
        self.assertEqual([agent.RETRY_DELAY_S], waits)
