"""Tests that no client ends a process, or makes it hang or outgrow itself.

Each test lets a crowd of one kind act on one listener of a real process. It
checks nothing that depends on the speed of the instance.
"""

import atexit
import os
import pathlib
import sys
import threading
import unittest

import testtools

from tests import client_peers
from tests import client_rigs
from tests import clients

# What clients may add to the memory of a process: half of what the smallest
# instances (168 MB) leave to a process that has 32 MiB at rest.
ALLOWANCE_MIB = 64
# The rest of the lowered limit is for files.
DESCRIPTOR_BOUND = (
    client_rigs.MAX_DESCRIPTORS - client_rigs.RESERVED_DESCRIPTORS
)
# A process that a test has made larger than this is started again.
REUSE_MIB = 4
SAMPLE_INTERVAL_S = 0.02
KIB_PER_MIB = 1024


def read_memory_mib(pid):
    """Return the resident memory of a process in MiB, 0 if it has ended."""
    for line in _read_proc(pid, 'status').splitlines():
        name, _, value = line.partition(':')
        if name == 'VmRSS':
            return int(value.split()[0]) / KIB_PER_MIB
    return 0


def _read_proc(pid, name):
    try:
        return pathlib.Path(f'/proc/{pid}/{name}').read_text()
    except (FileNotFoundError, ProcessLookupError):
        return ''


def count_descriptors(pid):
    """Return the number of open descriptors, 0 if the process has ended."""
    try:
        return len(os.listdir(f'/proc/{pid}/fd'))
    except (FileNotFoundError, ProcessLookupError):
        return 0


def count_unread_mib(port):
    """Return the MiB that have arrived at a port and haven't been read."""
    total = 0
    for line in _read_proc('net', 'tcp').splitlines()[1:]:
        _, local, _, _, queues, *_ = line.split()
        if int(local.partition(':')[2], 16) == port:
            total += int(queues.partition(':')[2], 16)
    return total / clients.MIB


class Monitor:
    """Samples a process while a crowd acts.

    Attributes:
        memory_mib: Largest resident memory.
        descriptors: Largest number of open descriptors.

    Args:
        pid: Id of the process.
        port: Port whose unread bytes are counted to the memory, or None.
    """

    def __init__(self, pid, port=None):
        self._port = port
        self.memory_mib = 0
        self.descriptors = 0
        self._pid = pid
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopped.set()
        self._thread.join()

    def _sample(self):
        while True:
            memory_mib = read_memory_mib(self._pid)
            if self._port is not None:
                memory_mib += count_unread_mib(self._port)
            self.memory_mib = max(self.memory_mib, memory_mib)
            self.descriptors = max(
                self.descriptors, count_descriptors(self._pid)
            )
            if self._stopped.wait(SAMPLE_INTERVAL_S):
                return


# Started once for all tests of the module.
_rigs = {}


def get_rig(rig_class):
    """Return the rig of a class; start it first, if need be."""
    if rig_class not in _rigs:
        _rigs[rig_class] = rig_class()
    return _rigs[rig_class]


@atexit.register
def tearDownModule():  # noqa: N802
    """End all processes."""
    while _rigs:
        _, rig = _rigs.popitem()
        rig.close()


class ClientsTestCase(testtools.TestCase):
    """Base of the tests of one listener.

    Attributes:
        listener: Name of the listener.
        prints: Whether the figures of each test are printed.
    """

    listener = ''
    prints = False

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        listener_class = client_rigs.get_listener_by_name(cls.listener)
        cls._listener = listener_class(get_rig(listener_class.rig))
        cls._rest_mib = 0

    def _prepare(self):
        """Return the memory in MiB of a process that no client has changed."""
        process = self._listener.get_process()
        if (
            process is None
            or process.poll() is not None
            or not self._rest_mib
            or read_memory_mib(process.pid) > self._rest_mib + REUSE_MIB
        ):
            self._listener.restart()
            type(self)._rest_mib = read_memory_mib(
                self._listener.get_process().pid
            )
        return self._rest_mib

    def check(self, client_name):
        """Let a crowd act, then check the process."""
        client_class = clients.get_client_by_name(client_name)
        self.watch(
            lambda: clients.run_crowd(
                client_class, self._listener.build_target()
            ),
            counts_unread=client_class.counts_unread,
        )

    def watch(self, act, *, counts_unread=False):
        """Check the process while and after ``act()``, which returns bytes."""
        rest_mib = self._prepare()
        process = self._listener.get_process()
        _, _, port = self._listener.find_address().rpartition(':')
        port = int(port) if counts_unread else None
        with Monitor(process.pid, port) as monitor:
            sent = act()
            is_answered = self._listener.wait_ordinary()
        found = (
            f'{sent / clients.MIB:.0f} MiB sent, memory {rest_mib:.0f} to '
            f'{monitor.memory_mib:.0f} MiB, '
            f'{monitor.descriptors} descriptors, '
            f'exit status {process.poll()}, ordinary request '
            f'{"answered" if is_answered else "not answered"}'
        )
        if self.prints:
            print(f'{self.id()}: {found}', file=sys.stderr)
        self.assertIsNone(process.poll(), found)
        self.assertLessEqual(
            monitor.memory_mib, rest_mib + ALLOWANCE_MIB, found
        )
        self.assertLessEqual(monitor.descriptors, DESCRIPTOR_BOUND, found)
        self.assertTrue(is_answered, found)


class PeersTestCase(ClientsTestCase):
    """Base of the tests of one process that calls a peer."""

    @classmethod
    def setUpClass(cls):
        testtools.TestCase.setUpClass()
        caller_class = client_rigs.get_caller_by_name(cls.listener)
        cls._listener = caller_class(get_rig(caller_class.rig))
        cls._rest_mib = 0

    @classmethod
    def tearDownClass(cls):
        cls._listener.restore_peer()
        super().tearDownClass()

    def check(self, answer_name):
        """Let the peer answer without end, then check the process."""
        answer_class = client_peers.get_answer_by_name(answer_name)
        self._listener.end_peer()
        self.watch(lambda: self._answer_without_end(answer_class))

    def _answer_without_end(self, answer_class):
        peer = client_peers.Peer(
            address=self._listener.find_peer(), answer=answer_class
        )
        thread = threading.Thread(target=peer.run, daemon=True)
        thread.start()
        self._listener.provoke()
        thread.join()
        self.assertGreater(peer.calls, 0, 'the peer was not called')
        return peer.sent


def build_case(listener, names, *, base=ClientsTestCase):
    """Return a test case of a listener with one test a kind of client.

    With the base ``PeersTestCase``, it is one of a caller with one test a
    kind of answer.
    """
    get_kind = (
        client_peers.get_answer_by_name
        if base is PeersTestCase
        else clients.get_client_by_name
    )

    def build_test(name):

        def test(self):
            self.check(name)

        # Says against which failure the test guards.
        test.__doc__ = get_kind(name).__doc__
        return test

    title = ''.join(part.title() for part in listener.split('_'))
    return type(
        f'Test{title}',
        (base,),
        {
            'listener': listener,
            '__module__': __name__,
            **{f'test_{name}': build_test(name) for name in names},
        },
    )


def build_complete_suite(listeners):
    """Return the tests of all kinds at these listeners; none means all."""
    all_listeners = [name for name, _ in client_rigs.list_listeners()]
    all_callers = [name for name, _ in client_rigs.list_callers()]
    suite = unittest.TestSuite()
    for name in listeners or [*all_listeners, *all_callers]:
        if name in all_callers:
            case = build_case(
                name, client_peers.list_names(), base=PeersTestCase
            )
        else:
            case = build_case(name, clients.list_names())
        case.prints = True
        suite.addTests(unittest.defaultTestLoader.loadTestsFromTestCase(case))
    return suite


# The kinds at each listener with a socket of its own.
COMMON = ['trailers', 'chunk_extension']
# What reads the body differs between these two.
DECODED = ['bodies', 'many_values']
TestEntryCallers = build_case('entry_callers', [*COMMON, *DECODED])
TestControlOperators = build_case('control_operators', COMMON)
TestControlMessages = build_case('control_messages', ['bodies'])
TestAgentMessages = build_case('agent_messages', COMMON)
TestStandin = build_case('standin', COMMON)
TestStandalone = build_case('standalone', COMMON)
TestPlatformReadiness = build_case('platform_readiness', COMMON)
TestPlatformOperators = build_case(
    'platform_operators', [*COMMON, 'many_values']
)
TestPlatformMessages = build_case('platform_messages', COMMON)
TestPlatformHeartbeats = build_case('platform_heartbeats', COMMON)
TestPlatformCallers = build_case(
    'platform_callers',
    [
        *COMMON,
        *DECODED,
        'trailer_line',
        'trailers_of_a_bad_body',
        'chunk_size',
        'chunks',
        'missing_bodies',
        'headers',
        'distinct_headers',
        'header_line',
        'request_line',
        'silent',
        'idle',
        'reset',
        'half_closed',
        'unread_answers',
        'unread_requests',
        'nested_lists',
        'expect_continue',
        'length_with_chunks',
        'names',
    ],
)
# One process of each kind whose peer answers without end.
TestEntryToControl = build_case(
    'entry_to_control', ['chunks'], base=PeersTestCase
)
TestAgentToControl = build_case(
    'agent_to_control', ['chunks'], base=PeersTestCase
)
TestAgentToBackend = build_case(
    'agent_to_backend', ['chunks'], base=PeersTestCase
)
TestPlatformEntryToControl = build_case(
    'platform_entry_to_control', ['chunks'], base=PeersTestCase
)
TestPlatformAgentToServer = build_case(
    'platform_agent_to_server',
    ['chunks', 'unlimited_body', 'trailers'],
    base=PeersTestCase,
)
