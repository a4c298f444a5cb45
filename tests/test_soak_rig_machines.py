"""Tests of the rig's late answers, clocks, disks and links."""

import argparse
import datetime
import importlib.util
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import time

import testtools

from soak import proxy
from soak import rig
from soak import rig_faults
from soak import rig_hooks
from soak import rig_machine_faults
from soak import rig_worker

HERE = pathlib.Path(__file__).resolve().parent.parent
REPLY_TIMEOUT_S = 5
MUTED_TIMEOUT_S = 0.3
GUARD_S = 60
BASE_S = 5_000.0
SUSPENDED_S = 700.0
STEP_S = 3_600.0
AGENT = ('side-a-1', 'agent')
CONTROL = ('front-a-1', 'control')
SHEET = {
    'zones': [{'name': 'a', 'region': 'r'}],
    'machines': [
        {'class': 'front', 'zone': 'a', 'count': 3, 'disk': {}},
        {'class': 'side', 'zone': 'a', 'count': 1},
    ],
    'timing': {'hold_max_ms': 10_000},
}
# Prints how far the clocks are from those of the host.
PRINT_CLOCKS = (
    'import datetime, sys, time\n'
    'steady, day = map(float, sys.argv[1:3])\n'
    'utc = datetime.timezone.utc\n'
    'print(time.monotonic() - steady)\n'
    'print(time.clock_gettime(time.CLOCK_MONOTONIC) - steady)\n'
    'print(time.monotonic_ns() / 1e9 - steady)\n'
    'boot = time.clock_gettime(time.CLOCK_BOOTTIME)\n'
    'print(boot - float(sys.argv[3]) - 700)\n'
    'print(time.time() - day)\n'
    'print(datetime.datetime.now(utc).timestamp() - day)\n'
    'now = datetime.datetime.utcnow().replace(tzinfo=utc)\n'
    'print(now.timestamp() - day)\n'
)


def load_process_module():
    """Return the module that the rig's processes load first."""
    path = rig_hooks.MODULES / 'sitecustomize.py'
    spec = importlib.util.spec_from_file_location('rig_process', path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class FolderCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)


class ModeTest(FolderCase):
    def setUp(self):
        super().setUp()
        self.events = self.folder / 'w.events'
        self.worker = rig_worker.Worker(
            argparse.Namespace(
                events=str(self.events),
                gangs=str(self.folder),
                id='i-1',
                clock_rate=1.0,
                seed=1,
                listen='127.0.0.1:0',
                stop_ms=0,
                save_ms=2_000,
                restore_ms=0,
            )
        )
        self.addCleanup(self.worker.server.server_close)

    def call(self, path, *, late=False, **fields):
        fields = {'fencing_token': 1, **fields}
        return self.worker.handle(path, fields, late=late)

    def start(self, task, run):
        deadline_ms = self.worker.model.read_clock_ms() + 5_000
        return self.call(
            '/run-start',
            task=task,
            run=run,
            spec='runs 60 s',
            deadline_ms=deadline_ms,
        )

    def end_a_run(self):
        self.start('t', 1)
        self.call('/run-stop', task='t', run=1)

    def choose(self, mode, path, **fields):
        self.worker.mode, self.worker.share = mode, 1.0
        self.worker.mode_until = time.monotonic() + GUARD_S
        return self.worker.choose_mode(path, fields)

    def test_calls_that_a_mode_applies_to(self):
        rows = [
            ('late', '/run-start', {'late'}),
            ('late', '/run-stop', {'late'}),
            ('late', '/hold', {'pass'}),
            ('late-grants', '/run-start', {'pass'}),
            ('late-grants', '/hold', {'late'}),
            ('late-all', '/run-start', {'late'}),
            ('late-all', '/hold', {'late'}),
            ('late-all', '/pace', {'pass'}),
            ('lost-grants', '/run-start', {'pass'}),
            ('lost-grants', '/hold', {'mute', 'reset'}),
            ('lost-all', '/run-stop', {'mute', 'reset'}),
            ('busy', '/pace', {'busy'}),
        ]
        for mode, path, expected in rows:
            self.assertIn(self.choose(mode, path), expected, (mode, path))

    def test_only_answers_to_new_acknowledgements_are_lost(self):
        self.end_a_run()
        rows = [(0, True), (1, False), (2, False)]
        for cursor, passes in rows:
            treatment = self.choose('lost-acks', '/hold', ack_cursor=cursor)
            self.assertEqual(passes, treatment == 'pass', cursor)
        self.call('/hold', ack_cursor=1)
        treatment = self.choose('lost-acks', '/hold', ack_cursor=1)
        self.assertEqual('pass', treatment)

    def test_a_late_grant_never_shortens_a_lease(self):
        self.start('t', 1)
        model = self.worker.model
        before_s = model.find_lapse_at()
        deadline_ms = model.read_clock_ms() + 1_000
        self.call('/hold', late=True, deadline_ms=deadline_ms)
        self.assertEqual(before_s, model.find_lapse_at())

    def test_a_late_grant_is_cut_to_the_longest_lease_at_its_arrival(self):
        model = self.worker.model
        self.call(
            '/hold', late=True, deadline_ms=model.read_clock_ms() + 60_000
        )
        left_s = model.find_lapse_at() - time.monotonic()
        self.assertTrue(9.0 < left_s <= 10.0, left_s)

    def test_late_grants_are_written_down(self):
        self.call('/hold', late=True, ack_cursor=0)
        rows = [json.loads(row) for row in self.events.open()]
        self.assertIn('late grant', [row['what'] for row in rows])


class ClockTest(FolderCase):
    def setUp(self):
        super().setUp()
        self.hooks = rig_hooks.Hooks(folder=self.folder)
        self.module = load_process_module()

    def test_step_lasts_while_its_file_exists(self):
        env = self.hooks.build_environment(AGENT)
        now = [0.0]
        step = self.module.Step(
            env['RIG_CLOCK_STEP'], monotonic=lambda: now[0]
        )
        seen = []
        for seconds in (None, STEP_S, -STEP_S, 0):
            if seconds is not None:
                self.hooks.step_time(AGENT, seconds)
            now[0] += 1
            seen.append(step.read())
        self.assertEqual([0.0, STEP_S, -STEP_S, 0.0], seen)

    def test_stepping_back_twice_is_allowed(self):
        self.hooks.step_time(AGENT, 0)
        self.hooks.step_time(AGENT, 0)

    def test_suspensions_add_up(self):
        env = self.hooks.build_environment(AGENT)
        for _ in range(2):
            self.hooks.add_suspension(AGENT, 1.5)
        suspended = self.module.Step(env['RIG_SUSPENDED'])
        self.assertEqual(3.0, suspended.read())

    def test_one_process_alone_is_stepped(self):
        env = self.hooks.build_environment(CONTROL)
        self.hooks.step_time(AGENT, STEP_S)
        step = self.module.Step(env['RIG_CLOCK_STEP'])
        self.assertEqual(0.0, step.read())

    def test_clocks_of_a_process(self):
        self.hooks.bases[AGENT] = BASE_S + SUSPENDED_S
        self.hooks.add_suspension(AGENT, SUSPENDED_S)
        env = {
            **os.environ,
            **self.hooks.build_environment(AGENT),
            'PYTHONPATH': str(rig_hooks.MODULES),
        }
        self.hooks.step_time(AGENT, STEP_S)
        command = [sys.executable, '-c', PRINT_CLOCKS]
        command += [str(time.monotonic()), str(time.time())]
        command.append(str(time.clock_gettime(time.CLOCK_BOOTTIME)))
        output = subprocess.run(
            command, env=env, capture_output=True, check=True, timeout=GUARD_S
        )
        shifts = [float(line) for line in output.stdout.split()]
        expected = [BASE_S] * 4 + [STEP_S] * 3
        for shift, seconds in zip(shifts, expected, strict=True):
            self.assertTrue(0 <= shift - seconds < GUARD_S, shifts)

    def test_other_times_are_still_times(self):
        step = self.module.Step(self.folder / 'none')
        shifted = self.module._build_datetime(step)
        self.assertIsInstance(datetime.datetime(2026, 1, 1), shifted)
        self.assertIsInstance(shifted(2026, 1, 1), datetime.datetime)


class LinkTest(FolderCase):
    def setUp(self):
        super().setUp()
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(self.listener.close)
        self.address = '{}:{}'.format(*self.listener.getsockname())
        self.hooks = rig_hooks.Hooks(folder=self.folder, has_links=True)
        self.addCleanup(self.hooks.close)
        self.module = load_process_module()

    def find_proxy(self, env):
        return self.module.find_proxy(
            env['RIG_LINKS'], self.listener.getsockname()
        )

    def test_connections_are_made_to_the_proxy(self):
        self.hooks.add_target(CONTROL[0], self.address)
        env = self.hooks.build_environment(AGENT)
        found = self.find_proxy(env)
        self.assertNotEqual(self.listener.getsockname(), found)
        other = ('127.0.0.1', 1)
        self.assertEqual(
            other, self.module.find_proxy(env['RIG_LINKS'], other)
        )

    def test_a_later_machine_is_added_to_the_links_of_the_others(self):
        env = self.hooks.build_environment(AGENT)
        self.assertEqual(self.listener.getsockname(), self.find_proxy(env))
        self.hooks.add_target(CONTROL[0], self.address)
        self.assertNotEqual(self.listener.getsockname(), self.find_proxy(env))

    def test_a_machine_reaches_itself_without_a_proxy(self):
        self.hooks.add_target(CONTROL[0], self.address)
        env = self.hooks.build_environment(CONTROL)
        self.assertEqual(self.listener.getsockname(), self.find_proxy(env))

    def test_there_are_none_unless_a_kind_needs_them(self):
        hooks = rig_hooks.Hooks(folder=self.folder)
        hooks.add_target(CONTROL[0], self.address)
        self.assertNotIn('RIG_LINKS', hooks.build_environment(AGENT))
        needs = rig_machine_faults.needs_links
        self.assertTrue(needs(None))
        self.assertTrue(needs(['kill', 'cut agent']))
        self.assertFalse(needs(['kill', 'clock step']))

    def test_bytes_that_a_cut_holds_back_come_when_it_ends(self):
        self.hooks.add_target(CONTROL[0], self.address)
        env = self.hooks.build_environment(AGENT)
        client = socket.create_connection(
            self.find_proxy(env), REPLY_TIMEOUT_S
        )
        self.addCleanup(client.close)
        server, _ = self.listener.accept()
        self.addCleanup(server.close)
        rows = [
            (proxy.Mode.MUTE, client, server),
            (proxy.Mode.MUTE, server, client),
            (proxy.Mode.MUTE_REQUESTS, client, server),
            (proxy.Mode.MUTE_ANSWERS, server, client),
        ]
        for mode, source, sink in rows:
            self.hooks.set_mode(self.hooks.list_links(), mode)
            source.sendall(b'x')
            sink.settimeout(MUTED_TIMEOUT_S)
            self.assertRaises(TimeoutError, sink.recv, 1)
            self.hooks.set_mode(self.hooks.list_links(), proxy.Mode.PASS)
            sink.settimeout(REPLY_TIMEOUT_S)
            self.assertEqual(b'x', sink.recv(1), mode)

    def test_silence_is_for_good_and_for_open_connections_only(self):
        self.hooks.add_target(CONTROL[0], self.address)
        env = self.hooks.build_environment(AGENT)
        pairs = []
        for position in range(2):
            client = socket.create_connection(
                self.find_proxy(env), REPLY_TIMEOUT_S
            )
            self.addCleanup(client.close)
            server, _ = self.listener.accept()
            self.addCleanup(server.close)
            pairs.append((client, server))
            client.sendall(b'x')
            server.settimeout(REPLY_TIMEOUT_S)
            server.recv(1)
            if not position:
                self.hooks.silence(self.hooks.list_links())
        for client, _ in pairs:
            client.sendall(b'x')
        self.assertEqual(b'x', pairs[1][1].recv(1))
        pairs[0][1].settimeout(MUTED_TIMEOUT_S)
        self.assertRaises(TimeoutError, pairs[0][1].recv, 1)


class _CutRig:
    """Records the modes of the links of two agents and two instances."""

    def __init__(self):
        self.hooks = self
        self.modes = {}

    def list_links(self):
        keys = [('a', 'agent'), ('b', 'agent')]
        keys += [('c', 'control'), ('d', 'control')]
        return [(k, t) for k in keys for t in ('c', 'd') if t != k[0]]

    def set_mode(self, links, mode):
        self.modes.update(dict.fromkeys(links, mode))


class CutTest(testtools.TestCase):
    def cut(self, key, direction):
        fake = _CutRig()
        rig_machine_faults._cut(fake, key, direction)
        return fake.modes

    def test_links_of_an_agent(self):
        mode = proxy.Mode.MUTE_REQUESTS
        agent = ('a', 'agent')
        self.assertEqual(
            {(agent, 'c'): mode, (agent, 'd'): mode}, self.cut(agent, 'out')
        )

    def test_links_of_an_instance(self):
        # What it sends is held back on its own links and, as answers, on
        # those of the others; what it is sent passes.
        modes = self.cut(('c', 'control'), 'out')
        requests = proxy.Mode.MUTE_REQUESTS
        answers = proxy.Mode.MUTE_ANSWERS
        self.assertEqual(
            {
                (('c', 'control'), 'd'): requests,
                (('a', 'agent'), 'c'): answers,
                (('b', 'agent'), 'c'): answers,
                (('d', 'control'), 'c'): answers,
            },
            modes,
        )


class CoreTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.rig = rig.Rig(sheet=SHEET, root=HERE, seed=1, most_sides=1)
        self.addCleanup(self.rig.close)

    def read_settings(self, name):
        text = self.rig._write_settings(name, 'control').read_text()
        return dict(line.split('=', 1) for line in text.splitlines())

    def test_a_new_machine_has_an_address_and_a_folder_of_its_own(self):
        gone = self.rig.seeds[0]
        former = self.read_settings(gone)
        self.rig.write_seeds(self.rig.seeds)
        name = self.rig.add_empty_host(gone)
        fields = self.read_settings(name)
        for field in ('ip', 'data_dir', 'node_name'):
            self.assertNotEqual(former[field], fields[field], field)
        self.assertEqual('true', former['bootstrap'])
        self.assertEqual('false', fields['bootstrap'])

    def test_a_machine_may_be_replaced_again_and_again(self):
        names = [self.rig.seeds[0]]
        for _ in range(8):
            names.append(self.rig.add_empty_host(names[-1]))
        addresses = {self.rig.hosts[name].address for name in names}
        self.assertEqual(len(names), len(addresses))

    def test_a_machine_that_is_gone_is_not_started_again(self):
        gone = self.rig.seeds[0]
        self.rig.add_empty_host(gone)
        self.rig.start(gone, 'control')
        self.assertEqual({}, self.rig.processes)

    def test_a_second_agent_is_started_on_a_machine_that_is_there(self):
        # Guards against kinds with a second agent that don't start it.
        started = []
        self.rig._spawn = lambda key, *args: started.append(key)
        for role in ('agent', 'second agent', 'control'):
            self.rig.start(AGENT[0], role)
        self.assertEqual([AGENT, (AGENT[0], 'second agent')], started)

    def test_one_machine_of_the_core_is_lost_at_a_time(self):
        self.rig.core_lock.acquire()
        for kind in ('replace core', 'wipe core'):
            rig_faults.inject(kind, self.rig)
        self.assertEqual({}, self.rig.processes)

    def test_no_machine_is_taken_while_another_is_down(self):
        # None runs, so that a further loss would be one too many.
        hosts = dict(self.rig.hosts)
        for kind in ('replace core', 'wipe core'):
            rig_faults.inject(kind, self.rig)
        self.assertEqual(hosts, self.rig.hosts)
        self.assertFalse(self.rig.core_lock.locked())


class BusyLoopTest(testtools.TestCase):
    def test_loops_end_by_themselves_and_are_few(self):
        self.assertTrue(rig_machine_faults.MAX_BUSY_LOOPS <= 8)
        command = [sys.executable, '-c', rig_machine_faults.BUSY_LOOP, '0.05']
        loop = subprocess.Popen(command)
        self.assertEqual(0, loop.wait(GUARD_S))


class KindTest(testtools.TestCase):
    def test_all_kinds_can_be_played(self):
        # Guards against kinds that fail when another module's names change:
        # the rig goes on without them.
        played = rig.Rig(sheet=SHEET, root=HERE, seed=1, most_sides=1)
        self.addCleanup(played.close)
        self.patch(rig_machine_faults.time, 'sleep', lambda seconds: None)
        names = [
            name
            for name, function in rig_faults._registry.items()
            if function.__module__ == rig_machine_faults.__name__
        ]
        self.assertEqual(20, len(names), names)
        for name in names:
            rig_faults.inject(name, played)

    def test_all_kinds_are_registered(self):
        names = {
            rig_faults.choose(random.Random(seed)) for seed in range(2_000)
        }
        self.assertTrue(names >= rig_machine_faults.LINK_KINDS)
        self.assertTrue(names >= {'grants late', 'replace core'})
