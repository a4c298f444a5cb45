"""Tests of the soak itself: its proxy, invariant checker and faults."""

import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading

import testtools

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import errors
from bilberryhaven.wire import server
from soak import caller
from soak import faults
from soak import proxy
from soak import worker

REPLY_TIMEOUT_S = 5
MUTED_TIMEOUT_S = 0.5
# Ends a test that would wait forever.
GUARD_S = 120


class EchoServer:
    """Sends back the bytes that it receives."""

    def __init__(self):
        self.listener = socket.create_server(('127.0.0.1', 0))
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self.serve, args=(sock,), daemon=True
            ).start()

    def serve(self, sock):
        try:
            while data := sock.recv(100):
                sock.sendall(data)
        except OSError:
            return


class ProxyTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        echo_server = EchoServer()
        self.addCleanup(echo_server.listener.close)
        target = echo_server.listener.getsockname()
        self.proxy = proxy.Proxy(listen=('127.0.0.1', 0), target=target)
        self.addCleanup(self.proxy.close)
        host, port = self.proxy.address.split(':')
        self.sock = socket.create_connection(
            (host, int(port)), REPLY_TIMEOUT_S
        )
        self.addCleanup(self.sock.close)

    def echo(self):
        self.sock.sendall(b'x')
        return self.sock.recv(1)

    def test_passes(self):
        self.assertEqual(b'x', self.echo())

    def test_mutes_until_mode_is_pass(self):
        for mode in (proxy.Mode.MUTE_REQUESTS, proxy.Mode.MUTE_ANSWERS):
            self.proxy.mode = mode
            self.sock.settimeout(MUTED_TIMEOUT_S)
            self.assertRaises(TimeoutError, self.echo)
            self.proxy.mode = proxy.Mode.PASS
            self.sock.settimeout(REPLY_TIMEOUT_S)
            self.assertEqual(b'x', self.sock.recv(1))

    def test_resets(self):
        self.assertEqual(b'x', self.echo())
        self.proxy.reset()
        self.assertRaises(ConnectionError, self.sock.recv, 1)


class InvariantCheckerTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.checker = worker.InvariantChecker()
        self.workers = [
            worker.Worker(
                number=number,
                zone=f'z{number}',
                listen='127.0.0.1:0',
                advertised='127.0.0.1:1',
                agent='127.0.0.1:1',
                checker=self.checker,
                random=random.Random(1),
            )
            for number in (1, 2)
        ]
        self.checker.specs['w'] = 'spec'

    def start(self, number, run, *, spec='spec', epoch=1):
        fields = {
            'task': 'w.0.0.0',
            'run': run,
            'spec': spec,
            'deadline_ms': 60_000,
            'fencing_token': epoch,
        }
        return self.workers[number]._start_run(fields)

    def test_two_runs_of_a_task_are_detected(self):
        self.start(0, 1)
        self.assertEqual([], self.checker.violations)
        self.start(1, 2)
        self.assertIn('works twice', self.checker.violations[0])

    def test_run_after_a_crash_is_allowed(self):
        self.start(0, 1)
        self.workers[0].start_incarnation()
        self.start(1, 2)
        self.assertEqual([], self.checker.violations)

    def test_wrong_spec_is_detected(self):
        self.start(0, 1, spec='other')
        self.assertIn('another spec', self.checker.violations[0])

    def test_start_in_a_withdrawn_zone_is_detected(self):
        self.checker.withdrawn_at['z1'] = 0.0
        self.start(1, 1)
        self.assertEqual([], self.checker.violations)
        self.workers[1].start_incarnation()
        self.start(0, 2)
        self.assertIn('withdrawn zone z1', self.checker.violations[0])

    def test_waiting_call_ends_with_its_incarnation(self):
        self.patch(worker, 'MAX_WAIT_S', GUARD_S)
        target = self.workers[0]
        advance, steps = target.advance, []

        def end_incarnation_at_second_step():
            steps.append(None)
            if len(steps) == 2:
                target.start_incarnation()
            advance()

        target.advance = end_incarnation_at_second_step
        fields = {'fencing_token': 1, 'ack_cursor': 0}
        status, _ = target._hold(
            {**fields, 'wait_ms': GUARD_S * 1000, 'deadline_ms': 60_000}
        )
        self.assertEqual(502, status)
        self.assertEqual(0, target._incarnation.deadline_ms)

    def test_lower_fencing_token_does_nothing(self):
        self.start(0, 1, epoch=2)
        status, _ = self.workers[0]._stop_run(
            {'task': 'w.0.0.0', 'run': 1, 'fencing_token': 1}
        )
        ref = workflow_commands.RunRef('w', '0.0.0', 1)
        self.assertEqual([ref], self.workers[0].list_running())


class CallerTest(testtools.TestCase):
    def test_rejection_of_an_accepted_job_is_detected(self):
        checker = worker.InvariantChecker()
        target = caller.Caller(
            addresses=[], checker=checker, random=random.Random(1)
        )
        target.accepted['w'] = [1]
        cases = [(errors.UnavailableError, 0), (errors.RejectedError, 1)]
        for kind, count in cases:
            error = kind('no', step='submit')
            body = server.build_error_response(error).body
            target._call = lambda *_, body=body: (503, body)
            target._resend('w')
            self.assertEqual(count, len(checker.violations))


class FaultsTest(testtools.TestCase):
    def test_required_fault_kinds_are_registered(self):
        names = {name for name, _ in faults.list_faults()}
        required = {'delay', 'reset connections', 'mute requests', 'pause'}
        required |= {'kill', 'terminate', 'wipe', 'worker crash'}
        required |= {'withdraw zone'}
        self.assertEqual(set(), required - names)


class TerminationTest(testtools.TestCase):
    def test_terminated_soak_ends_its_processes(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        soak = subprocess.Popen(
            [sys.executable, '-m', 'soak', '--sides', '1', '--seconds', '60'],
            env={**os.environ, 'TMPDIR': folder.name},
            stdout=subprocess.DEVNULL,
        )
        self.addCleanup(soak.wait)
        self.addCleanup(soak.kill)
        # Three control instances, three entries and an agent.
        pids = self.wait_for_children(soak, count=7)
        soak.send_signal(signal.SIGTERM)
        status = soak.wait(GUARD_S)
        left = [pid for pid in pids if pathlib.Path('/proc', pid).exists()]
        for pid in left:
            os.kill(int(pid), signal.SIGKILL)
        self.assertEqual((128 + signal.SIGTERM, []), (status, left))

    def wait_for_children(self, process, *, count):
        pause = threading.Event()
        for _ in range(int(GUARD_S / 0.05)):
            pids = list_children(process.pid)
            if len(pids) >= count or process.poll() is not None:
                break
            pause.wait(0.05)
        self.assertEqual(count, len(pids))
        return pids


def list_children(parent):
    """Return the ids of the child processes of a process."""
    found = []
    for path in pathlib.Path('/proc').glob('[0-9]*/stat'):
        try:
            fields = path.read_text().rpartition(')')[2].split()
        except OSError:
            continue
        if int(fields[1]) == parent:
            found.append(path.parent.name)
    return found
