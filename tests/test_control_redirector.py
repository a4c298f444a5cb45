"""Redirection by seeds without a disk.

Guards against a cluster that cannot find its leader: if all processes restart
and the seeds have been replaced by instances without a replica, only the
voters know the addresses of the voters.
"""

import types

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.control import redirector
from bilberryhaven import errors
from bilberryhaven.wire import client
from bilberryhaven.wire import directory
from bilberryhaven.wire import discovery
from bilberryhaven.wire import leader
from bilberryhaven.wire import message as wire_message
from bilberryhaven.wire import server
from bilberryhaven.workflow import gateway
from bilberryhaven.workflow import message
from tests import processes

TIMEOUT = clocks.seconds(5)


class FakeReplica:
    """The only member of a quorum of one."""

    def __init__(self, address):
        self.address = address

    def status(self):
        row = types.SimpleNamespace(address=self.address)
        return types.SimpleNamespace(members=[row], leader='voter')


class LeaderRedirectorTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.clock = clocks.SystemClock()
        ports = processes.find_ports(2)
        self.seed, self.voter = (f'127.0.0.1:{port}' for port in ports)
        self.announced = []
        self.redirector = redirector.LeaderRedirector(
            address=self.seed,
            directory=directory.MemberDirectory(
                clock=self.clock,
                local=self.seed,
                on_changed=self.announced.append,
            ),
        )
        self.redirector.start()
        self.addCleanup(self.redirector.stop)
        self.client = client.Client()
        self.addCleanup(self.client.close)

    def announce(self, *, seeds=None):
        announcer = discovery.Discovery(
            directory=directory.MemberDirectory(
                clock=self.clock,
                seeds=seeds or [self.seed],
                local=self.voter,
            ),
            client=self.client,
            clock=self.clock,
            replica=FakeReplica(self.voter),
        )
        announcer.tick()

    def build_gateway(self):
        return gateway.Gateway(
            leader=leader.LeaderClient(
                list_addresses=lambda: [self.seed],
                client=self.client,
                clock=self.clock,
            )
        )

    def serve_voter(self):
        def answer(request):
            reply = message.encode(message.CountReply(waiting=3))
            return wire_message.WorkReply(body=reply)

        voter_server = server.Server(
            address=self.voter, handlers={wire_message.WorkRequest: answer}
        )
        voter_server.start()
        self.addCleanup(voter_server.stop)

    def send_inquiry(self, timeout=TIMEOUT):
        inquiry = message.Inquire(host='h', path='/')
        return self.build_gateway().send(inquiry, timeout=timeout, step='ask')

    def test_seed_without_a_disk_redirects_to_a_voter(self):
        self.serve_voter()
        self.announce()
        self.assertEqual([[self.voter]], self.announced)
        self.assertEqual(3, self.send_inquiry().waiting)

    def test_request_before_an_announcement_is_not_run(self):
        error = self.assertRaises(
            errors.UnavailableError, self.send_inquiry, clocks.seconds(0.2)
        )
        self.assertEqual(errors.Outcome.NOT_RUN, error.outcome)

    def test_unreachable_seed_does_not_block_the_others(self):
        (port,) = processes.find_ports(1)
        self.announce(seeds=[f'127.0.0.1:{port}', self.seed])
        self.assertEqual([[self.voter]], self.announced)

    def test_members_get_no_announcement(self):
        self.announce(seeds=[self.voter])
        self.assertEqual([], self.announced)
