"""Fakes of the entry's peers, a leader and agents, on real sockets."""

import threading

from bilberryhaven import clock
from bilberryhaven import errors
from bilberryhaven.roles import entry
from bilberryhaven import settings
from bilberryhaven import util
from bilberryhaven.wire import message
from bilberryhaven.wire import server

WAIT_SECONDS = 20


def build_reply(request_id, body=b'', code='', outcome='', **load):
    """Return an ``AdmitReply`` with matching length and digest."""
    return message.AdmitReply(
        request_id=request_id,
        code=code,
        outcome=outcome,
        body=body,
        length=len(body),
        digest=util.compute_digest(body),
        load=message.Load(slots=8, **load),
    )


def build_sync(instances, workloads=(), full=True):
    """Return a ``SyncReply`` with one repeatable and one other service."""
    return message.SyncReply(
        revision=1,
        lease_ms=4000,
        feed='f',
        cursor=1,
        full=full,
        instances=instances,
        workloads=[
            message.WorkloadView(name='price', kind='service'),
            message.WorkloadView(
                name='recipe', kind='service', repeatable=False
            ),
            *workloads,
        ],
    )


class FakeAgent:
    """Agent that echoes each request's body unless ``respond`` is replaced."""

    def __init__(self, *, name='a'):
        self.name = name
        self.received = []
        self.revoked = []
        self.load = message.Load(slots=8, connections=64)
        self.respond = self.echo
        self.state = 'not_run'
        self.arrived = threading.Event()
        self.release = threading.Event()
        self.server = server.Server(
            address='127.0.0.1:0',
            handlers={
                message.AdmitRequest: self._admit,
                message.RevokeRequest: self._revoke,
            },
        )
        self.server.start()

    def echo(self, msg):
        reply = build_reply(msg.request_id, msg.body)
        reply.load = self.load
        return reply

    def wait_for_release(self, msg):
        self.release.wait(WAIT_SECONDS)
        return self.echo(msg)

    def truncate(self, msg):
        reply = self.echo(msg)
        reply.body = reply.body[:-1]
        return reply

    def refuse(self, msg):
        return build_reply(msg.request_id, code='overload', outcome='not_run')

    def build_view(self):
        return message.InstanceView(
            name=self.name,
            address=self.server.address,
            capacity=message.Capacity(),
            load=self.load,
            draining=self.load.draining,
        )

    def _admit(self, msg):
        self.received.append(msg)
        self.arrived.set()
        return self.respond(msg)

    def _revoke(self, msg):
        self.revoked += msg.request_ids
        return message.RevokeReply(states=[self.state] * len(msg.request_ids))


class FakeLeader:
    """Leader that grants leases and claims and replies to heartbeats."""

    def __init__(self, *, agents=()):
        self.agents = list(agents)
        self.batches = []
        self.calls = []
        self.claims = {}
        self.is_unavailable = False
        self.leader = ''
        self.syncs = 0
        self.server = server.Server(
            address='127.0.0.1:0',
            handlers={
                message.SyncRequest: self._sync,
                message.ClaimRequest: self._claim,
                message.HeartbeatBatch: self._heartbeat,
                message.CallRequest: self._call,
            },
        )
        self.server.start()

    def _check(self):
        if self.is_unavailable:
            raise errors.NotLeaderError(
                'no leader', step='fake', peer=self.leader
            )

    def _sync(self, msg):
        self._check()
        self.syncs += 1
        return build_sync([agent.build_view() for agent in self.agents])

    def _claim(self, msg):
        self._check()
        first = self.claims.setdefault(msg.request_id, msg.entry)
        if first != msg.entry:
            raise errors.RefusedError(
                'claimed', step='claim', peer=first, outcome='unknown'
            )
        return message.ClaimReply(granted=True, holder=first)

    def _heartbeat(self, msg):
        self._check()
        self.batches.append(msg)
        replies = [
            message.HeartbeatReply(instance=heartbeat.instance, epoch=7)
            for heartbeat in msg.heartbeats
        ]
        return message.HeartbeatBatchReply(replies=replies)

    def _call(self, msg):
        self._check()
        self.calls.append(msg)
        return message.CallReply(status=200, body=b'{"ok": true}')


def start_entry(*, control, **options):
    """Start an ``EntryRole`` with the control addresses and return it."""
    role = entry.EntryRole(
        settings=settings.Settings(
            name='e', listen='127.0.0.1:0', control=control, **options
        ),
        clock=clock.SystemClock(),
    )
    role.start()
    return role


def stop_all(servers):
    """Stop the servers in parallel."""
    threads = [threading.Thread(target=item.stop) for item in servers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(WAIT_SECONDS)


def wait_until(condition):
    """Wait until ``condition()`` is true, for about ``WAIT_SECONDS``."""
    pause = threading.Event()
    for _ in range(WAIT_SECONDS * 100):
        if condition():
            return
        pause.wait(0.01)
    raise AssertionError('the condition was not met within the time limit')
