"""Faults found in the review of the rule that hearsay ends no run.

Guards against a session that nothing ends, a server that is blocked by a
heartbeat of another writer, and a refused start that is never reported.
"""

import json

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.platform import workers
from bilberryhaven.wire import server
from bilberryhaven.workflow import message
from tests import processes
from tests import test_workflow_absence
from tests import test_workflow_hearsay as hearsay

LAPSE_S = 7


class Leader(hearsay.Leader):
    """Leader with a former agent's lease, which runs calls before replies.

    Attributes:
        doubt_ms: Rest of a former agent's lease.
        before_reply: Function called before each reply to a poll.
    """

    def __init__(self):
        super().__init__()
        self.doubt_ms = 0
        self.before_reply = lambda: None

    def send(self, request, *, timeout, step):
        reply = super().send(request, timeout=timeout, step=step)
        if isinstance(reply, message.PollReply):
            self.before_reply()
            reply.doubt_ms = self.doubt_ms
        return reply


class NothingGrantedTest(hearsay.HearsayTest):
    """A session that granted no lease ends, too, once its server refuses.

    Guards against an agent that polls for a crashed server for ever: its
    tasks are started nowhere else, and no other server is followed.
    """

    def setUp(self):
        super().setUp()
        self.leader = Leader()
        self.agent = self.build_agent()
        self.announce(sequence=2)

    def refuse(self):
        self.hosts.servers.pop(hearsay.ADDRESS, None)

    def check_next_server_is_followed(self):
        self.hosts.servers[hearsay.ELSEWHERE] = ('next', 7)
        self.announce(id='next', born_ms=7, address=hearsay.ELSEWHERE)
        self.work(LAPSE_S)
        self.assertEqual(['s@1'], self.leader.lapsed)
        self.assertEqual('next@7', self.leader.polled[-1])

    def test_server_crashes_while_the_first_poll_is_held(self):
        def crash():
            self.refuse()
            self.agent._renew_lease()

        self.leader.before_reply = crash
        self.work(1)
        self.check_next_server_is_followed()

    def test_server_crashes_while_a_former_lease_is_in_doubt(self):
        """A restarted agent grants nothing until it has listed the runs."""
        self.leader.doubt_ms = 5600

        def hold(*args, **kwargs):
            listing = list_runs(*args, **kwargs)
            listing.running = []
            listing.ends = [
                workflow_commands.RunEnd(
                    1, hearsay.RUN, workflow_commands.DONE, ''
                )
            ]
            return listing

        list_runs = self.hosts.hold
        self.hosts.hold = hold
        self.work(1)
        self.assertEqual(1, self.agent._supervisor.epoch)
        self.refuse()
        self.work(4)
        # The former agent's lease may still hold.
        self.assertEqual([], self.leader.lapsed)
        self.check_next_server_is_followed()


class RefusedStartsTest(hearsay.HearsayTest):
    def test_starts_extend_no_lease_of_a_server_that_refuses(self):
        """Guards against a lapse that each order delays."""
        self.hosts.servers.clear()
        self.work(0.5)
        for number in range(8):
            run = workflow_commands.RunRef('w', f'0.0.{number}', 1)
            order = message.Order(message.OrderKind.START, run)
            supervisor = self.agent._supervisor
            supervisor._record_order(order, self.clock.monotonic())
            self.agent._start_run(supervisor.target, supervisor.epoch, order)
            self.work(1)
        self.assertEqual(['s@1'], self.leader.lapsed)


class FencingWorker:
    """Worker that answers a lower fencing token as the protocol shows it.

    That answer contains no ``born``.
    """

    def __init__(self, *, address, fence):
        self.fence = fence
        self.server = server.Server(
            address=address, handlers={}, fallback=self.answer, threads=4
        )
        self.server.start()

    def answer(self, environ, body):
        fields = json.loads(body)
        status, answer = 200, {'clock_ms': 5_000}
        if environ['HTTP_X_EXPECTED_INSTANCE'] != 's':
            status = 421
        elif fields.get('fencing_token', 0) < self.fence:
            status, answer = 409, {**answer, 'reason': 'fence'}
        else:
            self.fence = fields['fencing_token']
            answer.update(running=[], finished=[], born=1)
        return server.Response(status=status, body=json.dumps(answer).encode())


class FencedServerTest(hearsay.HearsayTest):
    """An agent is restarted; its server refuses lower tokens.

    Guards against a real server that is blocked for ever, with the tasks
    started there, because a heartbeat of another writer was followed.
    """

    def setUp(self):
        super().setUp()
        (port,) = processes.find_ports(1)
        self.address = f'127.0.0.1:{port}'
        self.hosts = workers.WorkerClient()
        self.addCleanup(self.hosts.close)
        self.worker = FencingWorker(address=self.address, fence=1)
        self.addCleanup(self.worker.server.stop)
        self.agent = self.build_agent()
        self.leader.polled.clear()

    def check_real_server_is_used(self, **strange):
        self.announce(address=self.address)
        self.announce(address=self.address, **strange)
        self.work(2)
        for sequence in range(2, 12):
            self.announce(address=self.address, sequence=sequence)
            self.work(1)
        self.assertEqual('s@1', self.leader.polled[-1])
        supervisor = self.agent._supervisor
        self.assertEqual(1, supervisor.listed_epoch)

    def test_real_heartbeat_only(self):
        self.check_real_server_is_used()

    def test_own_id_without_its_start(self):
        self.check_real_server_is_used(born_ms=0)

    def test_own_id_born_later(self):
        self.check_real_server_is_used(born_ms=9)


class JunkRowTest(test_workflow_absence.AbsenceTest):
    """A start was refused; the lists have a row that names no run.

    Guards against a task that waits for ever at a server that refused it:
    the protocol lets the other rows hold.
    """

    def check(self, **lists):
        self.refuse_start()
        ends = [end for _ in range(20) for end in self.hold(**lists)]
        self.assertIn('rejected', ends)

    def test_row_of_running_without_a_run(self):
        self.check(running=[['?', 'x'], ['w1.0.0.0', 1]])

    def test_row_of_running_that_is_no_list(self):
        self.check(running=[None])

    def test_row_of_finished_without_a_run(self):
        self.check(finished=[[1, 2, 3]])
