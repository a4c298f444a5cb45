"""Instances that relay requests to a leader, each with a listener."""

import http.client

import testtools

from bilberryhaven import clock as clocks
from bilberryhaven.control import machine
from bilberryhaven import util
from bilberryhaven.wire import client
from bilberryhaven.wire import leader as wire_leader
from bilberryhaven.wire import message as wire_message
from bilberryhaven.wire import server
from bilberryhaven.workflow import dispatcher
from bilberryhaven.workflow import gateway
from bilberryhaven.workflow import options
from tests import workflow_replica

TIMEOUT = 10


class RelayTestCase(testtools.TestCase):
    """Two instances and a leader whose log commits immediately."""

    zones = ()

    def setUp(self):
        super().setUp()
        self.clock = clocks.SystemClock()
        self.machine = machine.TableStateMachine()
        self.leader = dispatcher.Dispatcher(
            replica=workflow_replica.FakeReplica(self.machine),
            machine=self.machine,
            clock=self.clock,
            options=options.Options(),
            zones=self.zones,
        )
        self.addCleanup(self.leader.stop)
        self.internal = self.serve(
            handlers={wire_message.WorkRequest: self.leader.handle}
        )
        self.relays = [self.build_relay() for _ in range(2)]

    def build_handler(self, leader_gateway):
        """Return the handler of the relays' requests."""
        raise NotImplementedError

    def serve(self, **fields):
        fields.setdefault('handlers', {})
        built = server.Server(address='127.0.0.1:0', threads=4, **fields)
        built.start()
        self.addCleanup(built.stop)
        return built

    def build_relay(self):
        peers = client.Client()
        self.addCleanup(peers.close)
        leader_client = wire_leader.LeaderClient(
            list_addresses=lambda: [self.internal.address],
            client=peers,
            clock=self.clock,
        )
        leader_gateway = gateway.Gateway(leader=leader_client)
        return self.serve(fallback=self.build_handler(leader_gateway))

    def connect(self, number=0):
        host, port = util.parse_address(self.relays[number].address)
        connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT)
        connection.connect()
        self.addCleanup(connection.close)
        return connection
