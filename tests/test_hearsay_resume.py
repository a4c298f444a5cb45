"""An agent resumes a session only if it is its own instance's.

Guards against a job that runs on two backend servers: an agent that was
started again under another instance's name takes its predecessor's epoch for
one of that instance, whose agent has a session with the same number.
"""

import socket

from bilberryhaven import clock as clocks
from bilberryhaven.roles import agent
from bilberryhaven import settings
from bilberryhaven import util
from tests import agent_fakes


class ResumeTest(agent_fakes.AgentTestCase):
    """An agent that crashes and is started again within its lease."""

    def start_again(self, *, name='pond-1', listen=None):
        """Return the epoch of the first heartbeat of the next agent."""
        former = self.agent.address
        self.agent.kill()
        self.wait_for(lambda: self.is_free(former))
        self.control.heartbeats.clear()
        role = agent.AgentRole(
            settings=settings.Settings(
                name=name,
                zone='tainan',
                listen=listen or former,
                backend=self.backend.address,
                control=[self.control.address],
            ),
            clock=self.clock,
            drain_notice=clocks.seconds(0),
        )
        role.start()
        self.addCleanup(role.stop)
        self.wait_for(lambda: self.control.heartbeats)
        first = self.control.heartbeats[0]
        self.assertEqual(name, first.instance)
        return first.epoch

    def is_free(self, address):
        with socket.socket() as sock:
            return sock.connect_ex(util.parse_address(address)) != 0

    def start_job(self):
        self.control.order_start('j', epoch=1)
        self.wait_for(lambda: 'started' in self.control.list_kinds('j'))

    def test_same_instance(self):
        self.start_job()
        self.assertEqual(1, self.start_again())
        self.assertEqual({'j': 1}, dict(self.backend.task_starts))

    def test_another_instance_at_the_same_address(self):
        self.start_job()
        self.assertEqual(0, self.start_again(name='pond-2'))
        self.wait_for(
            lambda: all(
                row.state != 'running' for row in self.backend.list_tasks()
            )
        )

    def test_same_instance_at_another_address(self):
        listen = agent_fakes.reserve_address()
        self.assertEqual(0, self.start_again(listen=listen))
