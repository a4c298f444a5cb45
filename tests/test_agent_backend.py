"""Tests of the backend server client."""

import socket

import testtools

from bilberryhaven.agent import backend
from bilberryhaven import clock as clocks
from bilberryhaven import errors


class TestHangingServer(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.ManualClock()
        self.server = socket.create_server(('127.0.0.1', 0))
        self.server.settimeout(5)
        self.addCleanup(self.server.close)
        port = self.server.getsockname()[1]
        self.client = backend.BackendClient(
            address=f'127.0.0.1:{port}',
            owner='a',
            clock=self.clock,
            slots=1,
            control_connections=1,
        )
        self.addCleanup(self.client.close)

    def call(self):
        error = self.assertRaises(errors.PeerError, self.client.get_status)
        return error.outcome

    def test_calls_back_off_after_timeouts(self):
        for _ in range(backend.TIMEOUTS_BEFORE_BACKOFF):
            self.assertEqual(errors.Outcome.UNKNOWN, self.call())
            self.server.accept()[0].close()
        self.assertEqual(errors.Outcome.NOT_RUN, self.call())
        self.clock.advance(backend.MAX_BACKOFF)
        self.assertEqual(errors.Outcome.UNKNOWN, self.call())
