"""Agent of workflows whose backend server gives unexpected answers."""

import threading
import time

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven.workflow import agent
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from bilberryhaven.workflow import server_client

StartResult = server_client.StartResult
ORDERS = 24


def build_ref(number):
    return workflow_commands.RunRef(f'w{number}', '0.0.0', 1)


class FakeGateway:
    """Leader that orders runs once and records the reported ends."""

    def __init__(self):
        self.sent = False
        self.ends = []

    def send(self, request, *, timeout, step):
        if isinstance(request, message.Report):
            self.ends += request.ends
            return message.ReportReply()
        time.sleep(0.02)
        orders = []
        if not self.sent:
            self.sent = True
            orders = [
                message.Order(message.OrderKind.START, build_ref(number))
                for number in range(ORDERS)
            ]
        return message.PollReply(
            key='s@1',
            epoch=1,
            lease_ms=5000,
            feed='f',
            last=ORDERS,
            orders=orders,
        )


class FakeClient(server_client.ServerClient):
    """Server whose client fails unexpectedly on some calls."""

    def __init__(self):
        self.running = set()
        self.stopped = set()
        self.failures = set()
        self.lock = threading.Lock()

    def fail_once(self, call, ref):
        with self.lock:
            if (call, ref) not in self.failures:
                self.failures.add((call, ref))
                raise ValueError(f'{call} got an unexpected answer')

    def start_run(self, target, order, *, deadline_ms, epoch):
        if int(order.run.workflow[1:]) % 2:
            self.fail_once('start', order.run)
        with self.lock:
            self.running.add(order.run)
        return StartResult.STARTED

    def stop_run(self, target, run, *, epoch):
        self.fail_once('stop', run)
        with self.lock:
            self.stopped.add(run)

    def pace_run(self, target, run, *, percent, epoch):
        raise errors.PeerError('not used')

    def hold(self, target, *, deadline_ms, epoch, acked, wait_ms):
        time.sleep(0.02)
        with self.lock:
            return server_client.Listing(
                clock_ms=int(time.monotonic() * 1000),
                born_ms=1,
                running=[message.Running(ref) for ref in self.running],
                ends=[],
            )

    def close(self):
        pass


class UnexpectedErrorTest(testtools.TestCase):
    def test_unexpected_errors_stop_no_later_order(self):
        gateway, client = FakeGateway(), FakeClient()
        tested = agent.WorkflowAgent(
            name='a',
            gateway=gateway,
            client=client,
            clock=clocks.SystemClock(),
            options=options.Options(),
        )
        state = message.ServerState(id='s', born_ms=1, pool='p')
        tested.handle_announcement(
            server_client.Announcement(
                state=state, address='127.0.0.1:1', sequence=1
            )
        )
        tested.start()
        self.addCleanup(tested.stop)
        started = {build_ref(n) for n in range(0, ORDERS, 2)}
        failed = {build_ref(n) for n in range(1, ORDERS, 2)}
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            reported = {end.run for end in gateway.ends}
            if client.running == started and reported >= failed:
                break
            time.sleep(0.02)
        self.assertEqual(started, client.running)
        # Each failed start was made certain by a stop, then reported.
        self.assertEqual(failed, client.stopped)
        self.assertEqual(failed, {end.run for end in gateway.ends})
