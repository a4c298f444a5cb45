"""Seeds without a disk, after all processes have started again.

The pattern: the seeds are exchanged for instances that keep no replica, and
then nobody knows a voter but the voters themselves.
"""

import types

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.control import redirector
from bilberryhaven import errors
from bilberryhaven.wire import client
from bilberryhaven.wire import leader
from bilberryhaven.wire import message as wire_message
from bilberryhaven.wire import server
from bilberryhaven.workflow import gateway
from bilberryhaven.workflow import message
from tests import processes

TIMEOUT = clocks.seconds(5)


class FakeReplica:
    """A member of a quorum of one, at an address."""

    def __init__(self, address):
        self.address = address

    def status(self):
        row = types.SimpleNamespace(address=self.address)
        return types.SimpleNamespace(members=[row])


class RelayTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        ports = processes.find_ports(2)
        self.seed, self.voter = (f'127.0.0.1:{port}' for port in ports)
        self.told = []
        self.relay = redirector.LeaderRedirector(
            address=self.seed, on_members=self.told.append
        )
        self.relay.start()
        self.addCleanup(self.relay.stop)
        self.client = client.Client()
        self.addCleanup(self.client.close)

    def announce(self, *, seeds=None):
        announcer = redirector.MemberAnnouncer(
            replica=FakeReplica(self.voter),
            client=self.client,
            list_seeds=lambda: seeds or [self.seed],
        )
        announcer.tick()

    def build_gateway(self):
        return gateway.Gateway(
            leader=leader.LeaderClient(
                addresses=[self.seed],
                client=self.client,
                clock=clocks.SystemClock(),
            )
        )

    def serve_voter(self):
        def answer(request):
            reply = message.encode(message.CountReply(waiting=3))
            return wire_message.WorkReply(body=reply)

        made = server.Server(
            address=self.voter, handlers={wire_message.WorkRequest: answer}
        )
        made.start()
        self.addCleanup(made.stop)

    def ask(self, timeout=TIMEOUT):
        inquiry = message.Inquire(host='h', path='/')
        return self.build_gateway().send(inquiry, timeout=timeout, step='ask')

    def test_voter_is_found_through_a_seed_without_a_disk(self):
        self.serve_voter()
        self.announce()
        self.assertEqual([[self.voter]], self.told)
        self.assertEqual(3, self.ask().waiting)

    def test_before_an_announcement_nothing_was_run(self):
        error = self.assertRaises(
            errors.UnavailableError, self.ask, clocks.seconds(0.2)
        )
        self.assertEqual(errors.Outcome.NOT_RUN, error.outcome)

    def test_seed_that_is_down_holds_nothing_up(self):
        (port,) = processes.find_ports(1)
        self.announce(seeds=[f'127.0.0.1:{port}', self.seed])
        self.assertEqual([[self.voter]], self.told)

    def test_members_are_not_told_of_themselves(self):
        self.announce(seeds=[self.voter])
        self.assertEqual([], self.told)
