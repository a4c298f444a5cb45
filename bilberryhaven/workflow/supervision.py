"""State that an agent keeps on its backend server and runs; no I/O."""

import dataclasses
import datetime
import enum

from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import log
from bilberryhaven.workflow import crash_evidence
from bilberryhaven.workflow import message
from bilberryhaven.workflow import pacing
from bilberryhaven.workflow import run_lease

__all__ = ['RunPhase', 'RunSupervisor']

TENTHS_PER_SERVER = 10
REJECTED = workflow_commands.EndHow.REJECTED


class RunPhase(enum.Enum):
    """Progress of an order.

    ``DOUBTFUL``: after the answer to the start or stop, the backend server
    either lists the run or will never have it. ``ABSENT``: the backend
    server will never have the run, which must be reported to the leader.
    """

    STARTING = 'starting'
    STARTED = 'started'
    DOUBTFUL = 'doubtful'
    ABSENT = 'absent'


@dataclasses.dataclass(kw_only=True, slots=True)
class OrderedRun:
    """A run for which this agent received an order.

    Attributes:
        order: The start order, or None if only a stop was ordered.
        needs: The first order, which tells what the run needs.
        phase: The ``RunPhase``.
        since: Monotonic time at which the phase began.
        stopping: Whether a stop was ordered.
        percent: Percentage of full speed last set for the run, None if
            unknown.
        listed_percent: The same at the listing before the newest one.
        requests: Number of start requests that were sent.
    """

    order: message.Order | None
    needs: message.Order
    phase: RunPhase
    since: datetime.timedelta
    stopping: bool = False
    percent: int | None = pacing.FULL_PERCENT
    listed_percent: int | None = pacing.FULL_PERCENT
    requests: int = 0


class RunSupervisor:
    """Tracks leases, orders and runs of one backend server.

    It does no I/O: the caller sends the requests and passes in the replies.
    Not thread-safe.

    Args:
        agent: Name of the agent.

    Attributes:
        target: Newest ``Announcement`` of the followed backend server, or
            None.
        epoch: Fencing token, 0 until the leader has issued one.
        key: Key of the incarnation for which the token was issued.
        acked: Number of the newest end that the leader has acknowledged.
        listed_epoch: Fencing token used for the newest listing.
        paces_changed: Whether the newest listing changed any pace.
        report_due: Whether the leader has yet to receive a report in this
            session.
        evidence: The ``CrashEvidence`` of this session.
    """

    def __init__(self, *, agent):
        self._agent = agent
        self.target = None
        self._reset()

    def _reset(self):
        self.epoch = 0
        self.key = ''
        self.acked = 0
        self.listed_epoch = 0
        self.paces_changed = False
        self.report_due = False
        self.runs = {}
        # Runs that were reported as rejected, and those of them that the
        # reply to the newest poll can't order any more.
        self._rejected = set()
        self._settled = set()
        self._feed = ''
        self._seen = 0
        self._lease = run_lease.RunLease()
        self._trouble = ''
        self._listed = set()
        self._listing_sent_at = None
        self._listing_count = 0
        self._names_incarnation = False
        self._effects = {}
        self._findings = []
        self._pacer = pacing.Pacer()
        self.evidence = crash_evidence.CrashEvidence()

    def follow(self, announcement):
        """Begin with a server that has answered at its address.

        Args:
            announcement: Its ``Announcement``; None to follow no server.
        """
        self._reset()
        self.target = announcement

    def is_followed(self, announcement):
        """Return whether an ``Announcement`` is of the followed server."""
        return (
            self.target is not None
            and announcement is not None
            and announcement.identity == self.target.identity
        )

    def handle_announcement(self, announcement):
        """Store a heartbeat of the followed server unless it is outdated.

        Args:
            announcement: The ``Announcement``.

        Returns:
            Whether it is of the followed server.
        """
        if not self.is_followed(announcement):
            return False
        known = self.target
        if announcement.sequence > known.sequence:
            self.target = announcement
            if announcement.state.cpu != known.state.cpu:
                self._update_tenths()
        return True

    @property
    def draining(self):
        """Whether the backend server is draining."""
        return self.target is not None and self.target.state.draining

    def reset_session(self):
        """Drop the fencing token and all state except the target.

        The next poll requests a new token, after which the runs are listed
        again.
        """
        target = self.target
        self._reset()
        self.target = target

    def build_poll(self, *, refusing=False, address=''):
        """Return the next ``Poll``.

        Args:
            refusing: Whether the server refuses connections.
            address: Where it has shown its start, or empty.
        """
        self._settled = set(self._rejected)
        return message.Poll(
            agent=self._agent,
            server=self.target.state,
            epoch=self.epoch,
            feed=self._feed,
            seen=self._seen,
            sequence=self.target.sequence,
            refusing=refusing,
            address=address,
        )

    def handle_poll_reply(self, reply, sent_at, now):
        """Apply a ``PollReply`` and return the orders to execute.

        Args:
            reply: The ``PollReply``.
            sent_at: Monotonic time at which the poll was sent.
            now: Monotonic time.
        """
        if reply.epoch != self.epoch:
            if self.epoch:
                # The leader has closed the server and ended all runs there.
                self.reset_session()
            self.epoch = reply.epoch
            self._lease.record_former(reply, now)
        self.key = reply.key
        if reply.feed != self._feed:
            self._feed = reply.feed
            self._seen = 0
            self.report_due = True
        self._seen = max(self._seen, reply.last)
        self._lease.renew(reply, sent_at)
        self.acked = max(self.acked, reply.acked)
        orders = [
            order for order in reply.orders if self._record_order(order, now)
        ]
        self._rejected -= self._settled
        return orders

    def _record_order(self, order, now):
        known = self.runs.get(order.run)
        if order.kind == message.OrderKind.START:
            if order.run in self._rejected:
                # The reply was built before the leader knew that.
                return False
            if known is not None:
                known.order = known.order or order
                return False
            phase = RunPhase.STARTING
            if order.run in self._listed:
                phase = RunPhase.STARTED
            # The pace of a run started by an earlier agent is unknown.
            percent = (
                None if phase == RunPhase.STARTED else pacing.FULL_PERCENT
            )
            self.runs[order.run] = OrderedRun(
                order=order,
                needs=order,
                phase=phase,
                since=now,
                percent=percent,
                listed_percent=percent,
            )
            if order.best_effort:
                self._add_to_pacer(order)
            return phase == RunPhase.STARTING
        if known is None:
            known = OrderedRun(
                order=None, needs=order, phase=RunPhase.STARTED, since=now
            )
            self.runs[order.run] = known
        is_new = not known.stopping
        known.stopping = True
        return is_new

    def _add_to_pacer(self, order):
        self._pacer.add(
            order.run,
            image=order.image,
            tenths=self._compute_tenths(order),
            rank=order.rank,
            percent=order.percent,
        )

    def _update_tenths(self):
        for ref, known in self.runs.items():
            if known.order is not None:
                self._pacer.set_tenths(ref, self._compute_tenths(known.order))

    def _compute_tenths(self, order):
        return TENTHS_PER_SERVER * order.cpu / max(self.target.state.cpu, 1)

    def may_start(self, run):
        """Return whether the start of ``run`` may still be sent."""
        known = self.runs.get(run)
        if known is None or known.stopping:
            return False
        return not self.draining

    def fits(self, run):
        """Return whether ``run`` fits into the newest announced capacity.

        Its start may have been planned for a larger one. Of the starts that
        are still to be sent, the earlier ones take precedence.
        """
        known = self.runs.get(run)
        if known is None:
            return False
        needed = [known.needs]
        is_earlier = True
        for ref, other in self.runs.items():
            if ref == run:
                is_earlier = False
            elif self._is_counted(ref, other, is_earlier):
                needed.append(other.needs)
        state = self.target.state
        cpu = sum(item.cpu for item in needed if not item.best_effort)
        memory_mb = sum(item.memory_mb for item in needed)
        gpu = sum(item.gpu for item in needed)
        return (
            cpu <= state.cpu
            and memory_mb <= state.memory_mb
            and gpu <= state.gpu
        )

    def _is_counted(self, ref, known, is_earlier):
        if ref in self._listed:
            return True
        if known.phase == RunPhase.STARTING:
            return is_earlier
        # What a listing requested after the start or stop lacks has ended.
        return known.phase != RunPhase.ABSENT and (
            self._listing_sent_at is None
            or known.since >= self._listing_sent_at
        )

    def record_request(self, run, now):
        """Record that a start request is about to be sent."""
        known = self.runs.get(run)
        if known is not None:
            known.requests += 1
            self.evidence.record_request(run, now)

    def list_runs(self):
        """Return (workflow, task, run number) of the ordered runs."""
        return [(ref.workflow, ref.task, ref.number) for ref in self.runs]

    def list_unlisted(self):
        """Return what is known of ordered runs that were never listed.

        Returns:
            (workflow, task, run number, phase, start requests) rows, for
            logs.
        """
        return [
            (
                ref.workflow,
                ref.task,
                ref.number,
                known.phase.value,
                known.requests,
            )
            for ref, known in self.runs.items()
            if known.order is not None and ref not in self._listed
        ]

    def set_phase(self, run, phase, now, *, trouble=''):
        """Set the phase of a run and record why its start failed.

        Args:
            run: The run.
            phase: The new ``RunPhase``.
            now: Monotonic time.
            trouble: Why the start failed, or empty.
        """
        known = self.runs.get(run)
        if known is not None:
            known.phase = phase
            known.since = now
        self._trouble = trouble or self._trouble

    def grant_deadline(self, now):
        """Grant all runs a deadline; see ``RunLease.grant``.

        Args:
            now: Monotonic time.

        Returns:
            The deadline, or None if none can be granted.
        """
        return self._lease.grant(now)

    def has_lapsed(self, now, margin):
        """Return whether every run has certainly lapsed.

        Args:
            now: Monotonic time.
            margin: Time that the backend server may take to stop lapsed
                runs, as a timedelta.
        """
        return self._lease.has_lapsed(now, margin)

    def describe_lease(self, now):
        """Return log fields of the lease that was granted last.

        Args:
            now: Monotonic time.
        """
        age = self._lease.find_expiry_age(now)
        return {
            'deadline_ms': self._lease.deadline_ms,
            'lease_expired_s': log.round_seconds(age),
        }

    def is_listed(self, run):
        """Return whether the newest listing contains ``run``."""
        return run in self._listed

    def handle_listing(self, listing, epoch, sent_at, now):
        """Apply a listing of the backend server and return a ``Report``.

        Args:
            listing: The ``Listing``.
            epoch: Fencing token sent with the request.
            sent_at: Monotonic time at which the request was sent.
            now: Monotonic time at which the listing arrived.
        """
        self.evidence.record_listing(now)
        self._listing_count += 1
        if not self._lease.handle_listing(listing, now):
            return self._build_report(listing)
        ends = [end for end in listing.ends if end.number > self.acked]
        self._note_lapse(self._lease.take_lapse(), ends)
        ends = self._lease.void_lapsed_ends(ends)
        self._listed = {row.run for row in listing.running}
        self._listing_sent_at = sent_at
        self.listed_epoch = epoch
        if listing.is_whole and self._is_of_target(listing):
            ended = listing.odd_ends.union(end.run for end in ends)
            absent = self._resolve_doubtful_runs(ended, sent_at)
            self._note_absent(absent, listing, sent_at, now)
        self._add_allowed_paces(listing.running)
        self._update_paces(listing.running, now)
        return self._build_report(
            listing,
            ends=ends + self._list_absent(),
            upto=max((end.number for end in ends), default=0),
            listed=True,
            paused=self._pacer.list_slow(now),
            trouble=self._trouble,
        )

    def _is_of_target(self, listing):
        """Return whether a listing is of the followed incarnation.

        Servers that name their incarnation do so in each listing.
        """
        self._names_incarnation |= listing.born_ms > 0
        born_ms = self.target.state.born_ms if self._names_incarnation else 0
        return listing.born_ms == born_ms

    def _build_report(self, listing, **fields):
        return message.Report(
            agent=self._agent,
            key=self.key,
            epoch=self.epoch,
            running=listing.running,
            deadline_ms=self._lease.deadline_ms,
            number=self._listing_count,
            **fields,
        )

    def _resolve_doubtful_runs(self, ended, sent_at):
        """Return the runs that a listing shows never to be there."""
        absent = []
        for ref, known in self.runs.items():
            if known.phase != RunPhase.DOUBTFUL or sent_at < known.since:
                continue
            if ref not in self._listed and ref not in ended:
                known.phase = RunPhase.ABSENT
                absent.append(ref)
        return absent

    def _note_absent(self, absent, listing, sent_at, now):
        for ref in absent:
            known = self.runs[ref]
            self._findings.append(
                {
                    'decision': 'find run absent',
                    'reason': 'listing after the answer to its start or stop',
                    'workflow': ref.workflow,
                    'task': ref.task,
                    'run': ref.number,
                    'starts': known.requests,
                    'stopping': known.stopping,
                    'answered_before_s': log.round_seconds(
                        sent_at - known.since
                    ),
                    'listing_took_s': log.round_seconds(now - sent_at),
                    'clock_ms': listing.clock_ms,
                    'born_ms': listing.born_ms,
                    'running': len(listing.running),
                    'ends': len(listing.ends),
                }
            )

    def _note_lapse(self, lapse, ends):
        if lapse is None:
            return
        void = [
            (end.run.workflow, end.run.task, end.run.number, end.number)
            for end in ends
            if end.how == workflow_commands.DONE
            and end.number <= lapse.void_upto
        ]
        self._findings.append(
            {
                'decision': 'find lapse',
                'reason': lapse.reason,
                'deadline_ms': lapse.deadline_ms,
                'clock_ms': lapse.clock_ms,
                'void_upto': lapse.void_upto,
                'void': void,
            }
        )

    def take_findings(self):
        """Return what listings have shown since the last call.

        Returns:
            Fields of log lines: runs that were found absent, and lapses of
            the lease with the ends that don't count.
        """
        findings, self._findings = self._findings, []
        return findings

    def _list_absent(self):
        return [
            workflow_commands.RunEnd(0, ref, REJECTED)
            for ref, known in self.runs.items()
            if known.phase == RunPhase.ABSENT
        ]

    def _add_allowed_paces(self, running):
        # A gauge is a mean over the time since the listing before, within
        # which the pace may have been raised.
        for row in running:
            known = self.runs.get(row.run)
            if known is None or known.percent is None:
                continue
            row.pace = min(known.percent, known.listed_percent or 0)
            known.listed_percent = known.percent

    def _update_paces(self, running, now):
        tails = self.list_tail_latencies(running)
        self.paces_changed = self._pacer.update(tails, self._effects, now)

    def list_tail_latencies(self, running):
        """Return ``TailLatency`` rows of the runs that serve users."""
        tails = []
        for row in running:
            known = self.runs.get(row.run)
            order = known.order if known else None
            if order is not None and order.target_ms:
                tails.append(
                    pacing.TailLatency(
                        run=row.run,
                        image=order.image,
                        latency_ms=row.gauge,
                        target_ms=order.target_ms,
                    )
                )
        return tails

    def list_paces(self):
        """Return (run, percentage) pairs whose pace must be sent."""
        return [
            (ref, self._pacer.get_percent(ref))
            for ref, known in self.runs.items()
            if known.order is not None
            and known.order.best_effort
            and known.phase == RunPhase.STARTED
            and known.percent != self._pacer.get_percent(ref)
        ]

    @property
    def mean_percent(self):
        """Mean percentage of full speed of the best-effort runs."""
        return self._pacer.mean_percent

    def get_percent(self, run):
        """Return the percentage of full speed allowed to a run."""
        return self._pacer.get_percent(run)

    def record_pace(self, run, percent):
        """Record that the pace of a run was set."""
        known = self.runs.get(run)
        if known is not None:
            known.percent = percent

    def handle_report_reply(self, report, reply):
        """Apply the leader's reply to a report.

        Runs whose ends the leader has acknowledged are removed.

        Args:
            report: The ``Report`` that was sent.
            reply: The ``ReportReply``.
        """
        self.acked = max(self.acked, reply.acked)
        self.report_due = False
        self._effects.update(
            {(row.serving, row.image): row.per_tenth for row in reply.effects}
        )
        for end in report.ends:
            if end.number <= self.acked:
                self.runs.pop(end.run, None)
                if end.number == 0:
                    self._rejected.add(end.run)
                self._pacer.remove(end.run)
        if report.trouble == self._trouble:
            self._trouble = ''
