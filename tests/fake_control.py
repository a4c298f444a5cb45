"""A control instance for tests of agents: grants leases and orders jobs."""

import threading

from bilberryhaven import errors
from bilberryhaven.wire import message
from bilberryhaven.wire import server

LEASE_MS = 4000
END_KINDS = ('finished', 'failed', 'stopped', 'refused')


class FakeControl:
    """Answers heartbeats as control does, of one agent and in memory."""

    def __init__(self, lease_ms=LEASE_MS):
        self.lease_ms = lease_ms
        self.epoch = 0
        self.revision = 1
        self.beats = []
        self.events = []
        self.starts = {}
        self.stops = {}
        self.throttles = []
        self.refusal = None
        self.mute = False
        self._lock = threading.Lock()
        self._server = server.Server(
            address='127.0.0.1:0',
            handlers={message.Heartbeat: self.answer},
            threads=4,
        )

    @property
    def address(self):
        return self._server.address

    def start(self):
        self._server.start()

    def stop(self):
        self._server.stop()

    def order_start(self, job_id, epoch, payload=b'{}', **fields):
        with self._lock:
            self.starts[job_id] = message.StartOrder(
                job_id=job_id,
                epoch=epoch,
                workload='batch',
                payload=payload,
                **fields,
            )

    def order_stop(self, job_id, epoch):
        with self._lock:
            self.stops[job_id] = message.StopOrder(
                job_id=job_id, epoch=epoch, reason='evicted'
            )

    def list_kinds(self, job_id):
        with self._lock:
            return [e.kind for e in self.events if e.job_id == job_id]

    def find_event(self, job_id, kind):
        with self._lock:
            for event in self.events:
                if (event.job_id, event.kind) == (job_id, kind):
                    return event
        return None

    def answer(self, beat):
        with self._lock:
            if self.mute:
                raise errors.UnavailableError('mute', step='heartbeat')
            self.beats.append(beat)
            return self._answer(beat)

    def _answer(self, beat):
        if beat.epoch == 0 and not self.refusal:
            self.epoch += 1
        elif beat.epoch != self.epoch or self.refusal:
            code = self.refusal or 'fenced'
            return message.HeartbeatReply(instance=beat.instance, code=code)
        for event in beat.events:
            self._record(event)
        if beat.leaving and not beat.running:
            return message.HeartbeatReply(
                instance=beat.instance, code='fenced'
            )
        return message.HeartbeatReply(
            instance=beat.instance,
            epoch=self.epoch,
            lease_ms=self.lease_ms,
            revision=self.revision,
            acked_events=beat.first_event + len(beat.events),
            starts=list(self.starts.values()),
            stops=list(self.stops.values()) + self._evict(beat),
            throttles=list(self.throttles),
        )

    def _evict(self, beat):
        return [
            message.StopOrder(job_id=row.job_id, epoch=row.epoch)
            for row in beat.running
            if beat.leaving
        ]

    def _record(self, event):
        self.events.append(event)
        self.starts.pop(event.job_id, None)
        if event.kind in END_KINDS:
            self.stops.pop(event.job_id, None)
