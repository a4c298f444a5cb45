"""Agents' heartbeats: sessions, leases, reports and orders."""

from bilberryhaven import clock as clocks
from bilberryhaven.commands import job as job_commands
from bilberryhaven.commands import session
from bilberryhaven.control import leases
from bilberryhaven import errors
from bilberryhaven import log
from bilberryhaven.tables import instance
from bilberryhaven.tables import job
from bilberryhaven.wire import message

__all__ = ['HeartbeatHandler']

LEASE_MS = int(leases.LEASE / clocks.seconds(0.001))
STOP_STATES = (job.JobState.EVICTING, job.JobState.CANCELLING)

_logger = log.get_logger('control')


class HeartbeatHandler:
    """Answers batches of heartbeats.

    A batch costs one commit for all its reports, however many agents are in
    it.

    Args:
        leader: The ``Leader``.
    """

    def __init__(self, *, leader):
        self._leader = leader

    def handle_batch(self, batch):
        """Return the ``HeartbeatBatchReply`` to a ``HeartbeatBatch``."""
        return message.HeartbeatBatchReply(
            replies=self._answer(batch.heartbeats)
        )

    def handle(self, beat):
        """Return the ``HeartbeatReply`` to one ``Heartbeat``."""
        return self._answer([beat])[0]

    def _answer(self, beats):
        self._leader.ensure_ready()
        refusals = {}
        accepted = []
        for beat in beats:
            refusal = self._admit(beat)
            if refusal is None:
                accepted.append(beat)
            else:
                refusals[id(beat)] = refusal
        self._commit(accepted)
        for beat in accepted:
            self._leader.record_load(beat.instance, beat.load, beat.usage)
        return [refusals.get(id(b)) or self._build_reply(b) for b in beats]

    def _admit(self, beat):
        """Renew the session; return a refusal, or None."""
        if beat.epoch == 0:
            return self._open(beat)
        with self._leader.replica.machine_lock:
            row = self._leader.state.instances.find(beat.instance)
            valid = row is not None and row.connected
            valid = valid and row.epoch == beat.epoch
            zone = row.zone if valid else ''
        if not valid or not self._renew(beat, zone):
            return _refuse(beat, 'fenced', 'the session is not open any more')
        return None

    def _renew(self, beat, zone):
        return self._leader.leases.renew(
            beat.instance,
            role='agent',
            zone=zone,
            revision=beat.revision,
            granted=self._leader.state.revision,
            epoch=beat.epoch,
        )

    def _open(self, beat):
        told = beat.announcement
        if told.name != beat.instance or not told.address:
            return _refuse(beat, 'bad_input', 'a session needs announcement')
        command = session.OpenSession(
            name=told.name,
            zone=told.zone,
            rack=told.rack,
            address=told.address,
            labels={pair.key: pair.value for pair in told.labels},
            capacity=instance.Capacity(
                slots=told.capacity.slots,
                connections=told.capacity.connections,
                cpu=told.capacity.cpu,
                memory_mb=told.capacity.memory_mb,
                accelerators=told.capacity.accelerators,
            ),
            at=self._leader.clock.wall(),
            opening=told.opening,
        )
        try:
            beat.epoch = self._leader.propose(command)
        except (errors.RefusedError, errors.FencedError) as error:
            return _refuse(beat, error.code, error.message)
        if not self._renew(beat, told.zone):
            return _refuse(beat, 'refused', 'the former session is closing')
        log.log_decision(
            _logger,
            'open session',
            reason='the agent announced itself',
            instance=told.name,
            epoch=beat.epoch,
        )
        return None

    def _commit(self, beats):
        events = [
            job_commands.JobEvent(
                job_id=event.job_id,
                epoch=event.epoch,
                kind=job_commands.EventKind(event.kind),
                body=event.body,
                reason=event.reason,
            )
            for beat in beats
            for event in beat.events
        ]
        batch = []
        if events:
            now = self._leader.clock.wall()
            batch.append(job_commands.RecordEvents(events=events, at=now))
        for beat in beats:
            if beat.leaving:
                batch.append(
                    session.LeaveSession(name=beat.instance, epoch=beat.epoch)
                )
        for result in self._leader.propose_all(batch):
            if isinstance(result, errors.BilberryhavenError):
                raise result

    def _build_reply(self, beat):
        with self._leader.replica.machine_lock:
            held = self._leader.state.jobs.select('instance', beat.instance)
            held = [row for row in held if row.state in job.ACTIVE_STATES]
            starts = [_build_start(row) for row in held if _starts(row)]
            stops = _list_stops(beat, held)
            throttles = self._list_throttles(held)
            revision = self._leader.state.revision
        if beat.leaving and not held and not beat.running:
            self._leader.leases.force_close(beat.instance, beat.epoch)
            self._leader.close_session(
                beat.instance, beat.epoch, 'its agent stopped'
            )
            return _refuse(beat, 'fenced', 'the session is closed')
        return message.HeartbeatReply(
            instance=beat.instance,
            epoch=beat.epoch,
            lease_ms=LEASE_MS,
            revision=revision,
            acked_events=beat.first_event + len(beat.events),
            starts=starts,
            stops=stops,
            throttles=throttles,
        )

    def _list_throttles(self, held):
        shares = self._leader.throttles
        return [
            message.ThrottleOrder(
                job_id=row.id, epoch=row.epoch, share=shares[row.id]
            )
            for row in held
            if row.id in shares
        ]


def _build_start(row):
    return message.StartOrder(
        job_id=row.id,
        epoch=row.epoch,
        workload=row.workload,
        payload=row.payload,
        checkpoint=row.checkpoint,
        slots=row.slots,
    )


def _starts(row):
    return row.state == job.JobState.GRANTED


def _list_stops(beat, held):
    stops = [
        message.StopOrder(job_id=row.id, epoch=row.epoch, reason=row.reason)
        for row in held
        if row.state in STOP_STATES
    ]
    valid = {(row.id, row.epoch) for row in held}
    stops.extend(
        message.StopOrder(
            job_id=item.job_id, epoch=item.epoch, reason='fenced'
        )
        for item in beat.running
        if (item.job_id, item.epoch) not in valid
    )
    return stops


def _refuse(beat, code, text):
    return message.HeartbeatReply(
        instance=beat.instance, code=code, message=text
    )
