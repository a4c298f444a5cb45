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


class Monitor:
    """Samples a process while a crowd acts.

    Attributes:
        memory_mib: Largest resident memory.
        descriptors: Largest number of open descriptors.

    Args:
        pid: Id of the process.
    """

    def __init__(self, pid):
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
            self.memory_mib = max(self.memory_mib, read_memory_mib(self._pid))
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
        rest_mib = self._prepare()
        process = self._listener.get_process()
        with Monitor(process.pid) as monitor:
            sent = clients.run_crowd(
                client_class, self._listener.build_target()
            )
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


def build_case(listener, client_names):
    """Return a test case of a listener with one test a kind of client."""

    def build_test(name):
        client_class = clients.get_client_by_name(name)

        def test(self):
            self.check(name)

        # Says against which failure the test guards.
        test.__doc__ = client_class.__doc__
        return test

    title = ''.join(part.title() for part in listener.split('_'))
    return type(
        f'Test{title}',
        (ClientsTestCase,),
        {
            'listener': listener,
            '__module__': __name__,
            **{f'test_{name}': build_test(name) for name in client_names},
        },
    )


def build_complete_suite(listeners):
    """Return the tests of all kinds at these listeners; none means all."""
    names = listeners or [name for name, _ in client_rigs.list_listeners()]
    suite = unittest.TestSuite()
    for name in names:
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
        'nested_lists',
        'expect_continue',
        'length_with_chunks',
        'names',
    ],
)
