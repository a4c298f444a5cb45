"""Reporter of an agent: when the backend server's lease has certainly ended.

Until then its jobs may be at work, though the server doesn't answer.
"""

import testtools

from bilberryhaven.agent import protocol
from bilberryhaven.agent import reporter
from bilberryhaven.agent import session
from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven.wire import message

OWNER = '127.0.0.1:1/2'
LEASE_MS = 3000
ATTACH_TIME = clocks.seconds(0.9)


class SilentBackend:
    """A backend server that answers an attachment late, and nothing else."""

    def __init__(self, clock):
        self._clock = clock

    def attach(self):
        self._clock.advance(ATTACH_TIME)
        task = protocol.TaskStatus(
            id='j', epoch=1, session=3, workload='batch', state='running'
        )
        return protocol.Status(
            boot='b',
            owner=OWNER,
            former_owner='127.0.0.1:1/1',
            session=3,
            lease_remaining_ms=LEASE_MS,
            tasks=[task],
        )

    def get_status(self):
        raise errors.PeerError('silent', step='test')


class Deferred:
    """Stands in for the proxies of other actors."""

    def __getattr__(self, name):
        return self

    def __call__(self):
        return self

    def defer(self, *args):
        return None

    def get(self):
        return []


class ResumedLeaseTest(testtools.TestCase):
    def test_job_is_not_ended_within_the_resumed_lease(self):
        """A job is reported as stopped while it is at work.

        The remaining time of the lease counts from the answer, not from the
        request, which may have been under way for long.
        """
        clock = clocks.ManualClock()
        agent_session = session.Session(
            announcement=message.Announcement(name='a'), first_event=1
        )
        actor = reporter.ReporterActor(
            session=agent_session,
            admission=Deferred(),
            backend=SilentBackend(clock),
            leader_client=None,
            clock=clock,
            owner=OWNER,
            on_replaced=lambda: None,
        )
        actor._task_actor = Deferred()
        actor._poll_backend()
        lease_left = clocks.seconds(LEASE_MS / 1000)
        clock.advance(lease_left - clocks.seconds(0.1))
        clock.advance(reporter.LEASE_MARGIN)
        actor._poll_backend()
        self.assertEqual(
            [], [row.kind for row in agent_session.pending_events][1:]
        )
        clock.advance(clocks.seconds(0.2))
        actor._poll_backend()
        self.assertEqual(
            ['stopped'],
            [row.kind for row in agent_session.pending_events][1:],
        )
