"""Two agents of one instance name get their own replies from a relay.

Guards against a job that runs on two backend servers: a newcomer that gets the
reply to the former agent's heartbeat takes over its session, its lease and its
start orders.
"""

import concurrent.futures

from bilberryhaven.agent import session
from bilberryhaven import clock as clocks
from bilberryhaven.control import heartbeat
from bilberryhaven.entry import relay
from bilberryhaven import errors
from bilberryhaven.tables import workload
from bilberryhaven.wire import message
from tests import test_control


class Gateway:
    """Client of a leader in the same process.

    Attributes:
        change: Function that returns the reply to deliver.
    """

    def __init__(self, handler):
        self._handler = handler
        self.change = lambda reply: reply

    def send(self, batch, *, timeout, step):
        return self.change(self._handler.handle_batch(batch))


class Agent:
    """Session of one agent, without I/O."""

    def __init__(self, name='i'):
        self.session = session.Session(
            announcement=message.Announcement(
                name=name, zone='z', rack='r', address='127.0.0.1:1'
            ),
            first_event=1,
        )
        self.starts = []

    def build_heartbeat(self):
        return self.session.build_heartbeat(
            load=message.Load(), usage=[], running=[], leaving=False
        )

    def accept(self, reply, now):
        if self.session.accept(reply, now):
            self.starts += [order.job_id for order in reply.starts]


class RelayTest(test_control.ControlTestCase):
    """A relay that sends the heartbeats of several agents in one batch."""

    def setUp(self):
        super().setUp()
        self.gateway = Gateway(self.heartbeat_handler)
        self.relay = relay.HeartbeatActor(
            name='e', leader=self.gateway, on_revision=lambda revision: None
        )
        self.addCleanup(self.relay._senders.shutdown)
        self.former, self.newcomer = Agent(), Agent()
        self.relay_all(self.former)

    def relay_all(self, *agents):
        """Send one heartbeat of each agent in one batch."""
        items = [
            relay.QueuedHeartbeat(
                heartbeat=agent.build_heartbeat(),
                future=concurrent.futures.Future(),
            )
            for agent in agents
        ]
        self.relay._send(items)
        for agent, item in zip(agents, items, strict=True):
            agent.accept(item.future.result(0), self.clock.monotonic())

    def check_sessions(self, *agents):
        self.submit(kind=workload.Kind.BATCH)
        self.grant()
        self.relay_all(*agents)
        self.assertEqual([1, 0], self.list_epochs())
        self.assertEqual(['j'], self.former.starts)
        self.assertEqual([], self.newcomer.starts)
        now = self.clock.monotonic()
        self.assertFalse(self.former.session.has_lapsed(now))

    def list_epochs(self):
        return [self.former.session.epoch, self.newcomer.session.epoch]

    def test_newcomer_before_the_former_agent(self):
        self.check_sessions(self.newcomer, self.former)

    def test_newcomer_after_the_former_agent(self):
        self.check_sessions(self.former, self.newcomer)

    def test_newcomer_among_other_agents(self):
        self.check_sessions(
            Agent('a'), self.newcomer, Agent('b'), self.former, Agent('c')
        )

    def test_newcomer_opens_its_session_after_the_lease_of_the_former(self):
        self.advance(heartbeat.LEASE_MS / 1000 + 0.6)
        self.relay_all(self.newcomer, self.former)
        self.assertEqual([0, 2], self.list_epochs())

    def check_unusable(self, change):
        self.gateway.change = lambda reply: message.HeartbeatBatchReply(
            replies=change(reply.replies)
        )
        self.clock.advance(clocks.seconds(1))
        self.assertRaises(
            errors.PeerError, self.relay_all, Agent('a'), self.former
        )

    def test_missing_reply_is_replaced_by_no_other(self):
        self.check_unusable(lambda replies: replies[1:])

    def test_reply_in_the_place_of_another_is_not_used(self):
        self.check_unusable(lambda replies: replies[::-1])
