"""Tasks that crash each server that starts them, and tasks beside them."""

import collections
import contextlib
import threading
import time

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import backend as backend_commands
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven.tables import workflow
from bilberryhaven.workflow import crash_evidence
from bilberryhaven.workflow import message
from bilberryhaven.workflow import planner
from bilberryhaven.workflow import server_client
from bilberryhaven.workflow import workflow_index
from tests import test_workflow_dispatcher
from tests import workflow_fakes as fakes

ACTIVE = workflow.WorkflowState.ACTIVE
COMPLETED = workflow.WorkflowState.COMPLETED
FAILED = workflow.WorkflowState.FAILED
ROUND_S = 0.3
# Time from the start of a deadly task to the crash.
DEADLY_MS = 20
RUN_ROUNDS = 8
KEY = '0.0.0'
at = clocks.seconds


class SimulatedServer:
    """Lives of one backend server, with its agent.

    Attributes:
        born_ms: Start of the current life.
        epoch: The agent's fencing token, 0 before its first poll.
        key: Key of the current life.
        running: Rounds that each run has been at work, by run.
        ended: Number of the newest end.
    """

    def __init__(self, name):
        self.name = name
        self.born_ms = 0
        self.restart()

    def restart(self):
        self.born_ms += 1
        self.epoch = 0
        self.key = ''
        self.running = {}
        self.ended = 0

    def build_end(self, ref, how):
        self.ended += 1
        return workflow_commands.RunEnd(self.ended, ref, how)


class CrashTest(test_workflow_dispatcher.DispatcherTest):
    """Some tasks crash each server as soon as it has started them."""

    def setUp(self):
        super().setUp()
        self.replace()
        self.servers = [SimulatedServer(name) for name in 'ijklmn']
        self.deadly = set()
        self.starts = collections.Counter()

    def play(self, rounds, *, on_round=None):
        for number in range(rounds):
            if on_round is not None:
                on_round(number)
            for server in self.servers:
                self.play_server(server)
            self.schedule()
            self.advance(ROUND_S)

    def play_server(self, server):
        reply = self.poll(
            server.name, epoch=server.epoch, born_ms=server.born_ms
        )
        server.epoch, server.key = reply.epoch, reply.key
        ends = []
        for order in reply.orders:
            if order.kind == message.OrderKind.STOP:
                if server.running.pop(order.run, None) is not None:
                    ends.append(server.build_end(order.run, 'stopped'))
            else:
                server.running.setdefault(order.run, 0)
                self.starts[order.run.workflow, order.run.task] += 1
        if any((r.workflow, r.task) in self.deadly for r in server.running):
            self.report_crash(reply, server.running)
            server.restart()
            return
        for ref in list(server.running):
            server.running[ref] += 1
            if server.running[ref] >= RUN_ROUNDS:
                del server.running[ref]
                ends.append(server.build_end(ref, 'done'))
        self.report(reply, *ends, running=list(server.running))

    def report_crash(self, reply, running):
        started = [
            message.StartedRun(ref, DEADLY_MS + int(rounds * ROUND_S * 1000))
            for ref, rounds in running.items()
        ]
        with contextlib.suppress(errors.FencedError):
            # A new leader has closed the server.
            self.report(reply, lapsed=True, crashed=True, started=started)

    def find_state(self, name):
        return self.state.workflows.find(name).state

    def test_deadly_task_is_given_up_after_three_crashes(self):
        """A crash ended a run as lapsed, so no bound on starts counted it."""
        self.deadly = {('w1', KEY)}
        self.submit('w1')
        self.play(30)
        self.assertEqual(3, self.starts['w1', KEY])
        row = self.state.workflows.find('w1')
        self.assertEqual(FAILED, row.state)
        self.assertEqual(
            '3 backend servers crashed under task 0.0.0', row.reason
        )

    def test_long_running_deadly_task_is_given_up(self):
        """Failed runs don't bound its starts; crashes must."""
        self.deadly = {('w1', KEY)}
        self.submit('w1', fakes.build_step(long_running=True))
        self.play(30)
        self.assertEqual(3, self.starts['w1', KEY])
        self.assertEqual(FAILED, self.find_state('w1'))

    def test_deadly_gang_is_given_up(self):
        """Its members crash several servers at the same time."""
        self.deadly = {('w1', f'0.0.{index}') for index in range(3)}
        self.submit('w1', fakes.build_step(tasks=3, cpu=40_000, gang=True))
        self.play(60)
        self.assertEqual(FAILED, self.find_state('w1'))
        for task in self.deadly:
            self.assertLessEqual(self.starts[task], 5)

    def test_tasks_that_ran_beside_deadly_ones_complete(self):
        """Innocent tasks were lost with each server that crashed."""
        self.deadly = {('w3', '0.0.1'), ('w7', KEY), ('w8', '0.0.2')}
        for number in range(16):
            self.submit(f'w{number}', fakes.build_step(tasks=4))
        self.play(60)
        states = {f'w{n}': self.find_state(f'w{n}') for n in range(16)}
        failed = {name for name, state in states.items() if state == FAILED}
        self.assertEqual({'w3', 'w7', 'w8'}, failed)
        self.assertEqual({FAILED, COMPLETED}, set(states.values()))
        # Crashes at the same time may have another cause, so that one more is
        # needed. Five starts are the stated limit.
        for task in self.deadly:
            self.assertLessEqual(self.starts[task], 4)

    def test_others_start_while_a_suspect_waits(self):
        """Other tasks still start while suspects are kept apart."""
        self.deadly = {('w0', KEY)}
        self.submit('w0', fakes.build_step(tasks=8))
        self.play(3)
        self.submit('w1', fakes.build_step(tasks=30))
        self.play(2)
        self.assertEqual(
            30, sum(n for (w, _), n in self.starts.items() if w == 'w1')
        )

    def test_suspect_starts_in_a_pool_that_is_never_calm(self):
        """New tasks keep arriving on each server; the suspect must start."""
        self.deadly = {('w0', KEY)}
        self.submit('w0')

        def submit_more(number):
            self.submit(f'x{number}', fakes.build_step(tasks=6, cpu=1000))

        self.play(20, on_round=submit_more)
        self.assertEqual(FAILED, self.find_state('w0'))

    def test_crashes_count_across_leaders(self):
        """The count must not be in the leader's memory only."""
        self.deadly = {('w1', KEY)}
        self.submit('w1')

        def elect(number):
            self.replica.term = 1 + number // 4

        self.play(60, on_round=elect)
        self.assertEqual(FAILED, self.find_state('w1'))
        self.assertLessEqual(self.starts['w1', KEY], 3)

    def test_new_leader_counts_a_crash_without_a_session(self):
        """The agent of a crashed server polls no more."""
        self.submit('w1')
        first = self.poll()
        self.schedule()
        self.replica.term = 2
        ref = workflow_commands.RunRef('w1', KEY, 1)
        self.report_crash(first, {ref: 0})
        task = self.state.workflows.find('w1').find_task(KEY)
        self.assertEqual(([], 1), (task.runs, task.crashes))

    def test_planned_leave_is_no_crash(self):
        """A server that drains and leaves hasn't crashed."""
        self.submit('w1', fakes.build_step(long_running=True))
        for born_ms in (1, 2, 3):
            first = self.poll(born_ms=born_ms)
            self.schedule()
            (order,) = self.poll(
                born_ms=born_ms, epoch=first.epoch, draining=True
            ).orders
            self.report_crash(first, {order.run: 0})
        self.poll(born_ms=4)
        task = self.state.workflows.find('w1').find_task(KEY)
        self.assertEqual(0, task.crashes)

    def test_silent_server_is_no_crash(self):
        """A server that was only cut off may be well."""
        self.submit('w1', fakes.build_step(long_running=True))
        for born_ms in (1, 2, 3):
            first = self.poll(born_ms=born_ms)
            self.schedule()
            self.report(first, lapsed=True)
        self.poll(born_ms=4)
        task = self.state.workflows.find('w1').find_task(KEY)
        self.assertEqual(0, task.crashes)

    def test_run_at_work_for_long_is_not_suspected(self):
        """A serving task outlives many crashes that others cause."""
        self.submit('w1', fakes.build_step(long_running=True))
        for born_ms in (1, 2, 3, 4):
            first = self.poll(born_ms=born_ms)
            self.report(first)
            self.schedule()
            (order,) = self.poll(born_ms=born_ms, epoch=first.epoch).orders
            for _ in range(5):
                self.report(first, running=[order.run])
                self.advance(0.5)
            self.report_crash(first, {order.run: 5})
        row = self.state.workflows.find('w1')
        self.assertEqual((ACTIVE, 0), (row.state, row.find_task(KEY).crashes))

    def test_run_that_was_never_sent_is_not_suspected(self):
        """Orders that still waited at the agent can't have crashed it."""
        self.submit('w1')
        first = self.poll()
        self.report(first)
        self.schedule()
        self.report_crash(first, {})
        task = self.state.workflows.find('w1').find_task(KEY)
        self.assertEqual(([], 0), (task.runs, task.crashes))


class CrashCountTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.world = fakes.World(*'abcdef')
        for name in ('v', 'w'):
            self.world.submit(fakes.build_workflow(name, fakes.build_step()))

    def crash(self, server, number, *names):
        for name in names:
            self.world.start(name, KEY, number, server)
        self.world.apply(
            backend_commands.CloseBackend(
                key=server,
                at=3,
                reason='test',
                suspects=[
                    workflow_commands.RunRef(name, KEY, number)
                    for name in names
                ],
            )
        )

    def list_states(self):
        return [self.world.find(name).state for name in ('v', 'w')]

    def test_two_crashes_of_two_suspects_give_neither_up(self):
        """Tasks that only ran beside a deadly one must not fail with it."""
        self.crash('a', 1, 'v', 'w')
        self.crash('b', 2, 'v', 'w')
        self.assertEqual([ACTIVE, ACTIVE], self.list_states())

    def test_third_crash_is_the_last(self):
        """No task starts after three servers have crashed under it."""
        self.crash('a', 1, 'v', 'w')
        self.crash('b', 2, 'v', 'w')
        self.crash('c', 3, 'v', 'w')
        self.assertEqual([FAILED, FAILED], self.list_states())
        self.assertEqual(0, self.world.start('w', KEY, 4, 'd'))

    def test_two_crashes_give_no_suspect_up(self):
        """Servers that crash in waves hit the same task twice by chance."""
        self.crash('a', 1, 'w')
        self.crash('b', 2, 'w')
        self.assertEqual([ACTIVE, ACTIVE], self.list_states())

    def test_only_the_suspect_of_all_crashes_is_given_up(self):
        self.crash('a', 1, 'v', 'w')
        self.crash('b', 2, 'w')
        self.crash('c', 3, 'w')
        self.assertEqual([ACTIVE, FAILED], self.list_states())

    def test_crashes_with_other_causes_are_limited(self):
        """A task that crashes its servers beside outages must be found."""
        for number, server in enumerate('abcd', 1):
            self.assertEqual([ACTIVE, ACTIVE], self.list_states())
            self.crash(server, number, 'w')
            row = workflow_commands.Suspicion('w', KEY, server)
            self.world.apply(workflow_commands.ClearSuspects(suspicions=[row]))
        self.assertEqual([ACTIVE, FAILED], self.list_states())

    def test_suspicion_ends_when_the_cause_is_found(self):
        """Tasks that ran beside a deadly one were kept apart for long."""
        self.crash('a', 1, 'v', 'w')
        self.crash('b', 2, 'w')
        self.crash('c', 3, 'w')
        task = self.world.find('v').find_task(KEY)
        self.assertEqual((1, []), (task.crashes, task.suspected_on))

    def test_cleared_task_is_given_up_after_its_own_crashes(self):
        """Two deadly tasks may start on one server; one of them is cleared."""
        self.crash('a', 1, 'v', 'w')
        self.crash('b', 2, 'w')
        self.crash('c', 3, 'w')
        self.assertEqual([ACTIVE, FAILED], self.list_states())
        for number, server in enumerate('def', 2):
            self.assertEqual([ACTIVE, FAILED], self.list_states())
            self.crash(server, number, 'v')
        self.assertEqual([FAILED, FAILED], self.list_states())

    def test_run_of_a_cancelled_workflow_may_be_the_cause(self):
        """A task beside it stays suspected, and fails at its own limit."""
        for number, server in enumerate('abc', 1):
            self.assertEqual(ACTIVE, self.world.find('w').state)
            self.world.submit(
                fakes.build_workflow(f'x{number}', fakes.build_step())
            )
            name = f'x{number}'
            for started in (name, 'w'):
                self.world.start(started, KEY, number, server)
            self.world.apply(workflow_commands.CancelWorkflow(id=name, at=3))
            self.crash(server, number, name, 'w')
        self.assertEqual(FAILED, self.world.find('w').state)

    def test_crash_counts_once(self):
        """The same crash may be reported again after a change of leaders."""
        self.crash('a', 1, 'w')
        self.world.open('a')
        self.world.apply(
            backend_commands.CloseBackend(
                key='a',
                at=4,
                reason='test',
                suspects=[workflow_commands.RunRef('w', KEY, 1)],
            )
        )
        self.assertEqual(1, self.world.find('w').find_task(KEY).crashes)

    def test_crashes_are_in_the_snapshot(self):
        self.crash('a', 1, 'w')
        other = fakes.World()
        other.state.load(self.world.state.dump())
        self.assertEqual(1, other.find('w').find_task(KEY).crashes)


class IsolationTest(testtools.TestCase):
    """A suspected task starts apart from what else has just been started."""

    def plan(self, servers, *names, suspects=()):
        groups = []
        for name in names:
            row = fakes.build_workflow(name, fakes.build_step())
            row.started = name in suspects
            if name in suspects:
                row.tasks[KEY] = workflow.Task(suspected_on=['x'], last_run=1)
            groups.append(
                workflow_index.Group(
                    row=row,
                    occurrence=0,
                    index=0,
                    step=row.steps[0],
                    keys=[KEY],
                    due_at=0.0,
                )
            )
        starts = planner.plan_starts(groups, servers, 0.0)
        return {start.workflow: start.backend for start in starts}

    def test_suspects_are_never_together(self):
        servers = [fakes.build_server(key) for key in 'abcdef']
        plan = self.plan(servers, 'v', 'w', 'x', suspects='vw')
        self.assertEqual(3, len(plan))
        self.assertEqual(3, len(set(plan.values())))

    def test_suspect_waits_for_a_server_without_new_runs(self):
        server = fakes.build_server('a')
        server.add_fresh('x', suspected=False)
        self.assertEqual({}, self.plan([server], 'w', suspects='w'))

    def test_server_is_kept_for_a_waiting_suspect(self):
        """Otherwise new tasks keep it out for as long as they arrive."""
        servers = [fakes.build_server(key) for key in 'ab']
        for server in servers:
            server.add_fresh('x', suspected=False)
        plan = self.plan(servers, 'v', 'w', suspects='w')
        self.assertEqual({'v': 'b'}, plan)

    def test_suspects_leave_servers_to_others(self):
        """Many suspects must not keep all servers of a pool."""
        servers = [fakes.build_server(key) for key in 'abcdef']
        plan = self.plan(servers, *'tuvwxyz', suspects='tuvwxy')
        self.assertEqual(4, len(plan.keys() & set('tuvwxy')))
        self.assertIn('z', plan)

    def test_suspected_gang_starts_once(self):
        """Suspects are placed in two passes of a round."""
        step = fakes.build_step(tasks=2, gang=True)
        row = fakes.build_workflow('w', step)
        keys = ['0.0.0', '0.0.1']
        row.started = True
        row.tasks[KEY] = workflow.Task(suspected_on=['x'], last_run=1)
        group = workflow_index.Group(
            row=row, occurrence=0, index=0, step=step, keys=keys, due_at=0.0
        )
        starts = planner.plan_starts([group], [fakes.build_server('a')], 0.0)
        self.assertEqual(keys, [start.task for start in starts])
        self.assertEqual({2}, {start.number for start in starts})

    def test_suspect_prefers_a_server_with_few_tasks(self):
        servers = [fakes.build_server(key) for key in 'ab']
        servers[0].claim(fakes.build_step(), ('x', 0, 0))
        self.assertEqual({'w': 'b'}, self.plan(servers, 'w', suspects='w'))


class CrashEvidenceTest(testtools.TestCase):
    """What an agent knows of the runs that its server had received."""

    def setUp(self):
        super().setUp()
        self.evidence = crash_evidence.CrashEvidence()

    def list_ages(self, now):
        return [row.age_ms for row in self.evidence.list_started(at(now))]

    def test_answered_start(self):
        """A deadly task answers and crashes its server."""
        self.evidence.record_request('r', at(1))
        self.evidence.record_start('r', at(1.1))
        self.evidence.record_failure(at(1.2))
        self.assertEqual([100], self.list_ages(1.4))

    def test_refused_start(self):
        """A start that met a closed port can't have crashed the server."""
        self.evidence.record_request('r', at(1))
        self.evidence.discard_request('r')
        self.assertEqual([], self.list_ages(1.1))

    def test_start_cut_off_by_the_crash(self):
        self.evidence.record_request('r', at(1))
        self.evidence.record_cut('r', at(1.02))
        self.assertEqual([20], self.list_ages(1.1))

    def test_start_sent_after_the_first_failure(self):
        """A request on a broken connection can't have crashed the server."""
        self.evidence.record_failure(at(1))
        self.evidence.record_request('r', at(1.05))
        self.evidence.record_cut('r', at(1.06))
        self.assertEqual([], self.list_ages(1.1))

    def test_start_without_an_outcome_yet(self):
        """The listing may notice the crash before the start does."""
        self.evidence.record_request('r', at(1))
        self.evidence.record_failure(at(1.01))
        self.evidence.record_request('s', at(1.02))
        (row,) = self.evidence.list_started(at(1.03))
        self.assertEqual('r', row.run)

    def test_answer_after_a_failure(self):
        """Connections are reset without a crash, too."""
        self.evidence.record_request('r', at(1))
        self.evidence.record_start('r', at(1))
        self.evidence.record_failure(at(1.1))
        self.evidence.record_listing(at(1.2))
        self.evidence.record_failure(at(1.7))
        self.assertEqual([700], self.list_ages(1.8))

    def test_run_at_work_for_long(self):
        self.evidence.record_request('r', at(1))
        self.evidence.record_start('r', at(1))
        self.evidence.record_listing(at(3))
        self.assertEqual([], self.list_ages(3))


class CrashingClient(server_client.ServerClient):
    """Server that refuses connections after its first start request."""

    def __init__(self):
        self._crashed = threading.Event()
        self.holds_lease = False

    def crash(self):
        self._crashed.set()

    def _check(self):
        if self._crashed.is_set():
            raise errors.NotListeningError('refused', step='test', peer='s')

    def start_run(self, target, order, *, deadline_ms, epoch):
        self._check()
        self._crashed.set()
        raise errors.CutOffError('reset', step='test', peer='s')

    def stop_run(self, target, run, *, epoch):
        self._check()

    def pace_run(self, target, run, *, percent, epoch):
        self._check()

    def hold(self, target, *, deadline_ms, epoch, acked, wait_ms):
        time.sleep(0.02)
        self._check()
        self.holds_lease = deadline_ms is not None
        return server_client.Listing(
            clock_ms=int(time.monotonic() * 1000),
            born_ms=1,
            running=[],
            ends=[],
        )

    def close(self):
        pass


class OrderingGateway:
    """Leader that orders one run and keeps the reports."""

    def __init__(self, ref):
        self._orders = [message.Order(message.OrderKind.START, ref)]
        self.lapses = []

    def send(self, request, *, timeout, step):
        if isinstance(request, message.Report):
            if request.lapsed:
                self.lapses.append(request)
            return message.ReportReply()
        time.sleep(0.02)
        return message.PollReply(
            key='s@1',
            epoch=1,
            lease_ms=1000,
            feed='f',
            last=1,
            orders=self._orders,
        )


class CrashReportTest(testtools.TestCase):
    def run_agent(self, *, draining):
        ref = workflow_commands.RunRef('w', KEY, 1)
        gateway, client = OrderingGateway(ref), CrashingClient()
        tested = fakes.build_agent(gateway, client, draining=draining)
        tested.start()
        self.addCleanup(tested.stop)
        deadline = time.monotonic() + 10
        if draining:
            # Its lease can only expire once one was granted.
            while not client.holds_lease and time.monotonic() < deadline:
                time.sleep(0.02)
            client.crash()
        while not gateway.lapses and time.monotonic() < deadline:
            time.sleep(0.02)
        return gateway.lapses[0]

    def test_refused_connection_is_reported_as_a_crash(self):
        report = self.run_agent(draining=False)
        self.assertTrue(report.crashed)

    def test_start_that_the_crash_cut_off_is_reported(self):
        """A deadly start may get no answer; a later attempt is refused."""
        (row,) = self.run_agent(draining=False).started
        self.assertEqual('w', row.run.workflow)

    def test_refusal_of_a_draining_server_is_no_crash(self):
        self.assertFalse(self.run_agent(draining=True).crashed)
