"""The soak's own parts: what the proxy does, what the judge finds."""

import random
import socket
import threading

import testtools

from bilberryhaven.commands import workflow as workflow_commands
from soak import faults
from soak import proxy
from soak import worker

WAIT_SECONDS = 5
SHORT_SECONDS = 0.5


class Echo:
    """Sends back what it gets."""

    def __init__(self):
        self.listener = socket.create_server(('127.0.0.1', 0))
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                end, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self.serve, args=(end,), daemon=True
            ).start()

    def serve(self, end):
        try:
            while data := end.recv(100):
                end.sendall(data)
        except OSError:
            return


class ProxyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        echo = Echo()
        self.addCleanup(echo.listener.close)
        target = echo.listener.getsockname()
        self.proxy = proxy.Proxy(listen=('127.0.0.1', 0), target=target)
        self.addCleanup(self.proxy.close)
        host, port = self.proxy.address.split(':')
        self.end = socket.create_connection((host, int(port)), WAIT_SECONDS)
        self.addCleanup(self.end.close)

    def ask(self):
        self.end.sendall(b'x')
        return self.end.recv(1)

    def test_passes(self):
        self.assertEqual(b'x', self.ask())

    def test_mutes_until_it_passes_again(self):
        for mode in (proxy.Mode.MUTE_REQUESTS, proxy.Mode.MUTE_ANSWERS):
            self.proxy.mode = mode
            self.end.settimeout(SHORT_SECONDS)
            self.assertRaises(TimeoutError, self.ask)
            self.proxy.mode = proxy.Mode.PASS
            self.end.settimeout(WAIT_SECONDS)
            self.assertEqual(b'x', self.end.recv(1))

    def test_resets(self):
        self.assertEqual(b'x', self.ask())
        self.proxy.reset()
        self.assertRaises(ConnectionError, self.end.recv, 1)


class JudgeTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.judge = worker.Judge()
        self.workers = [
            worker.Worker(
                number=number,
                listen='127.0.0.1:0',
                announced='127.0.0.1:1',
                agent='127.0.0.1:1',
                judge=self.judge,
                random=random.Random(1),
            )
            for number in (1, 2)
        ]
        self.judge.specs['w'] = 'spec'

    def start(self, number, run, *, spec='spec', epoch=1):
        fields = {
            'task': 'w.0.0.0',
            'run': run,
            'spec': spec,
            'deadline_ms': 60_000,
            'fencing_token': epoch,
        }
        return self.workers[number]._start_run(fields)

    def test_two_runs_of_a_task_are_found(self):
        self.start(0, 1)
        self.assertEqual([], self.judge.broken)
        self.start(1, 2)
        self.assertIn('works twice', self.judge.broken[0])

    def test_run_after_a_crash_is_allowed(self):
        self.start(0, 1)
        self.workers[0].begin_life()
        self.start(1, 2)
        self.assertEqual([], self.judge.broken)

    def test_wrong_spec_is_found(self):
        self.start(0, 1, spec='other')
        self.assertIn('another spec', self.judge.broken[0])

    def test_call_that_waits_ends_with_its_life(self):
        item = self.workers[0]
        fields = {'fencing_token': 1, 'ack_cursor': 0, 'wait_ms': 400}
        timer = threading.Timer(0.1, item.begin_life)
        timer.start()
        status, _ = item._hold({**fields, 'deadline_ms': 60_000})
        timer.join()
        self.assertEqual(502, status)
        self.assertEqual(0, item._life.deadline_ms)

    def test_lower_fencing_token_does_nothing(self):
        self.start(0, 1, epoch=2)
        status, _ = self.workers[0]._stop_run(
            {'task': 'w.0.0.0', 'run': 1, 'fencing_token': 1}
        )
        ref = workflow_commands.RunRef('w', '0.0.0', 1)
        self.assertEqual([ref], self.workers[0].list_running())


class FaultsTest(testtools.TestCase):
    def test_kinds_that_the_users_named_are_there(self):
        names = {name for name, _ in faults.list_faults()}
        named = {'delay', 'reset connections', 'mute requests', 'pause'}
        named |= {'kill', 'terminate', 'wipe', 'worker crash'}
        self.assertEqual(set(), named - names)
