"""Handles heartbeats of agents: sessions, leases, reports and orders."""

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

LEASE_MS = int(leases.LEASE_DURATION / clocks.seconds(0.001))
STOP_STATES = (job.JobState.EVICTING, job.JobState.CANCELLING)

_logger = log.get_logger('control')


class HeartbeatHandler:
    """Handles batches of heartbeats.

    The reports of all agents in a batch are committed together.

    Args:
        leader: The ``Leader``.
    """

    def __init__(self, *, leader):
        self._leader = leader

    def handle_batch(self, batch):
        """Return the ``HeartbeatBatchReply`` to a ``HeartbeatBatch``.

        The replies are in the order of the heartbeats, by which the sender
        matches them.
        """
        return message.HeartbeatBatchReply(
            replies=self._process(batch.heartbeats)
        )

    def handle(self, heartbeat):
        """Return the ``HeartbeatReply`` to one ``Heartbeat``."""
        return self._process([heartbeat])[0]

    def _process(self, heartbeats):
        self._leader.ensure_ready()
        refusals = {}
        accepted = []
        for heartbeat in heartbeats:
            refusal = self._renew_session(heartbeat)
            if refusal is None:
                accepted.append(heartbeat)
            else:
                refusals[id(heartbeat)] = refusal
        self._commit(accepted)
        for heartbeat in accepted:
            self._leader.record_load(
                heartbeat.instance, heartbeat.load, heartbeat.usage
            )
        return [
            refusals.get(id(b)) or self._build_reply(b) for b in heartbeats
        ]

    def _renew_session(self, heartbeat):
        """Renew or open the session; return None or the refusal."""
        if heartbeat.epoch == 0:
            return self._open_session(heartbeat)
        with self._leader.replica.machine_lock:
            row = self._find_session(heartbeat)
        if row is None or not self._renew_lease(heartbeat, row.zone):
            return _refuse_closed(heartbeat)
        return None

    def _find_session(self, heartbeat):
        """Return the ``Instance`` of a heartbeat's session if it is open."""
        row = self._leader.state.instances.find(heartbeat.instance)
        if row is None or not row.connected or row.epoch != heartbeat.epoch:
            return None
        return row

    def _renew_lease(self, heartbeat, zone):
        return self._leader.leases.renew(
            heartbeat.instance,
            role='agent',
            zone=zone,
            revision=heartbeat.revision,
            granted=self._leader.state.revision,
            epoch=heartbeat.epoch,
        )

    def _open_session(self, heartbeat):
        announcement = heartbeat.announcement
        if announcement.name != heartbeat.instance or not announcement.address:
            return _refuse(
                heartbeat, 'bad_input', 'a new session needs an announcement'
            )
        command = session.OpenSession(
            name=announcement.name,
            zone=announcement.zone,
            rack=announcement.rack,
            address=announcement.address,
            labels={pair.key: pair.value for pair in announcement.labels},
            capacity=instance.Capacity(
                slots=announcement.capacity.slots,
                connections=announcement.capacity.connections,
                cpu=announcement.capacity.cpu,
                memory_mb=announcement.capacity.memory_mb,
                accelerators=announcement.capacity.accelerators,
            ),
            at=self._leader.clock.wall(),
            opening=announcement.opening,
        )
        try:
            heartbeat.epoch = self._leader.propose(command)
        except (errors.RefusedError, errors.FencedError) as error:
            return _refuse(heartbeat, error.code, error.message)
        if not self._renew_lease(heartbeat, announcement.zone):
            return _refuse(
                heartbeat, 'refused', 'the previous session is being closed'
            )
        log.log_decision(
            _logger,
            'open session',
            reason='the agent sent an announcement',
            instance=announcement.name,
            epoch=heartbeat.epoch,
        )
        return None

    def _commit(self, heartbeats):
        events = [
            job_commands.JobEvent(
                job_id=event.job_id,
                epoch=event.epoch,
                kind=job_commands.EventKind(event.kind),
                body=event.body,
                reason=event.reason,
            )
            for heartbeat in heartbeats
            for event in heartbeat.events
        ]
        batch = []
        if events:
            now = self._leader.clock.wall()
            batch.append(job_commands.RecordEvents(events=events, at=now))
        for heartbeat in heartbeats:
            if heartbeat.leaving:
                batch.append(
                    session.LeaveSession(
                        name=heartbeat.instance, epoch=heartbeat.epoch
                    )
                )
        for result in self._leader.propose_all(batch):
            if isinstance(result, errors.BilberryhavenError):
                raise result

    def _build_reply(self, heartbeat):
        with self._leader.replica.machine_lock:
            if self._find_session(heartbeat) is None:
                # It was closed between the first check and the renewal.
                self._leader.leases.end_close(
                    heartbeat.instance, heartbeat.epoch
                )
                return _refuse_closed(heartbeat)
            active_jobs = self._leader.state.jobs.select(
                'instance', heartbeat.instance
            )
            active_jobs = [
                row for row in active_jobs if row.state in job.ACTIVE_STATES
            ]
            starts = [
                _build_start(row) for row in active_jobs if _is_granted(row)
            ]
            stops = _list_stops(heartbeat, active_jobs)
            throttles = self._list_throttles(active_jobs)
            revision = self._leader.state.revision
        if heartbeat.leaving and not active_jobs and not heartbeat.running:
            self._leader.leases.refuse_renewals(
                heartbeat.instance, heartbeat.epoch
            )
            self._leader.close_session(
                heartbeat.instance, heartbeat.epoch, 'its agent stopped'
            )
            return _refuse(heartbeat, 'fenced', 'the session is closed')
        return message.HeartbeatReply(
            instance=heartbeat.instance,
            epoch=heartbeat.epoch,
            lease_ms=LEASE_MS,
            revision=revision,
            acked_events=heartbeat.first_event + len(heartbeat.events),
            starts=starts,
            stops=stops,
            throttles=throttles,
        )

    def _list_throttles(self, active_jobs):
        shares = self._leader.throttles
        return [
            message.ThrottleOrder(
                job_id=row.id, epoch=row.epoch, share=shares[row.id]
            )
            for row in active_jobs
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


def _is_granted(row):
    return row.state == job.JobState.GRANTED


def _list_stops(heartbeat, active_jobs):
    stops = [
        message.StopOrder(job_id=row.id, epoch=row.epoch, reason=row.reason)
        for row in active_jobs
        if row.state in STOP_STATES
    ]
    valid = {(row.id, row.epoch) for row in active_jobs}
    stops.extend(
        message.StopOrder(
            job_id=item.job_id, epoch=item.epoch, reason='fenced'
        )
        for item in heartbeat.running
        if (item.job_id, item.epoch) not in valid
    )
    return stops


def _refuse_closed(heartbeat):
    return _refuse(heartbeat, 'fenced', 'the session is no longer open')


def _refuse(heartbeat, code, text):
    return message.HeartbeatReply(
        instance=heartbeat.instance, code=code, message=text
    )
