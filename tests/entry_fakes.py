"""Stand-ins at the entry's interfaces: leader and agents on sockets."""

import threading

from bilberryhaven import clock
from bilberryhaven import errors
from bilberryhaven.roles import entry
from bilberryhaven import settings
from bilberryhaven import util
from bilberryhaven.wire import message
from bilberryhaven.wire import server

WAIT_SECONDS = 20


class FakeAgent:
    """Answers each request with its body, unless told otherwise."""

    def __init__(self, *, name='a'):
        self.name = name
        self.seen = []
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
        return message.AdmitReply(
            request_id=msg.request_id,
            body=msg.body,
            length=len(msg.body),
            digest=util.compute_digest(msg.body),
            load=self.load,
        )

    def wait(self, msg):
        self.release.wait(WAIT_SECONDS)
        return self.echo(msg)

    def cut(self, msg):
        reply = self.echo(msg)
        reply.body = reply.body[:-1]
        return reply

    def refuse(self, msg):
        return message.AdmitReply(
            request_id=msg.request_id,
            code='overload',
            outcome='not_run',
            load=self.load,
        )

    def view(self):
        return message.InstanceView(
            name=self.name,
            address=self.server.address,
            capacity=message.Capacity(),
            load=self.load,
            draining=self.load.draining,
        )

    def _admit(self, msg):
        self.seen.append(msg)
        self.arrived.set()
        return self.respond(msg)

    def _revoke(self, msg):
        self.revoked += msg.request_ids
        return message.RevokeReply(states=[self.state] * len(msg.request_ids))


class FakeLeader:
    """Grants leases, claims and heartbeats."""

    def __init__(self, *, agents=()):
        self.agents = list(agents)
        self.workloads = [
            message.WorkloadView(name='price', kind='service'),
            message.WorkloadView(
                name='recipe', kind='service', repeatable=False
            ),
        ]
        self.lease_ms = 4000
        self.revision = 1
        self.batches = []
        self.calls = []
        self.claims = {}
        self.silent = False
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
        if self.silent:
            raise errors.NotLeaderError(
                'no leader', step='fake', peer=self.leader
            )

    def _sync(self, msg):
        self._check()
        self.syncs += 1
        return message.SyncReply(
            revision=self.revision,
            lease_ms=self.lease_ms,
            feed='f',
            cursor=1,
            full=True,
            workloads=self.workloads,
            instances=[agent.view() for agent in self.agents],
        )

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
            message.HeartbeatReply(instance=beat.instance, epoch=7)
            for beat in msg.heartbeats
        ]
        return message.HeartbeatBatchReply(replies=replies)

    def _call(self, msg):
        self._check()
        self.calls.append(msg)
        return message.CallReply(status=200, body=b'{"ok": true}')


def start_entry(*, control, **options):
    """Return a started ``EntryRole`` that knows the control addresses."""
    role = entry.EntryRole(
        settings=settings.Settings(
            name='e', listen='127.0.0.1:0', control=control, **options
        ),
        clock=clock.SystemClock(),
    )
    role.start()
    return role


def stop_all(servers):
    """Stop the servers, all at a time."""
    threads = [threading.Thread(target=item.stop) for item in servers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(WAIT_SECONDS)


def wait_until(condition):
    """Wait for ``condition()`` to hold, within a bound."""
    pause = threading.Event()
    for _ in range(WAIT_SECONDS * 100):
        if condition():
            return
        pause.wait(0.01)
    raise AssertionError('the condition did not come to hold')
