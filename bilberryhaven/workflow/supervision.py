"""What an agent knows of its backend server and the runs there; no I/O."""

import dataclasses
import datetime
import enum

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options as workflow_options
from bilberryhaven.workflow import pacing

__all__ = ['RunPhase', 'Supervision']

MS = clocks.seconds(0.001)
TENTHS = 10
DONE = workflow_commands.EndHow.DONE
LAPSED = workflow_commands.EndHow.LAPSED
REJECTED = workflow_commands.EndHow.REJECTED


class RunPhase(enum.Enum):
    """How far an order has been carried out.

    ``DOUBTFUL``: a start or stop was answered in a way after which the run
    is either listed or will never be there. ``ABSENT``: it will never be
    there, and the leader is to be told.
    """

    STARTING = 'starting'
    STARTED = 'started'
    DOUBTFUL = 'doubtful'
    ABSENT = 'absent'


@dataclasses.dataclass(kw_only=True, slots=True)
class OrderedRun:
    """A run that was ordered here.

    Attributes:
        order: The start order, or None if only its stop was ordered.
        phase: Its ``RunPhase``.
        since: When the phase began, monotonic.
        stopping: Whether its stop was ordered.
        percent: Percentage that its pace was set to, None if not known.
    """

    order: message.Order | None
    phase: RunPhase
    since: datetime.timedelta
    stopping: bool = False
    percent: int | None = pacing.FULL_PERCENT


class Supervision:
    """Tables and rules of an agent; its caller does the calls.

    Not thread-safe.

    Args:
        agent: Name of the agent.

    Attributes:
        target: Newest ``Announcement`` of the backend server, or None.
        epoch: Fencing token, 0 before the leader gave one.
        key: Key of the life that the token is for.
        acked: Number of the newest end that the leader has taken over.
        listed_epoch: Fencing token with which the runs were listed last.
        paces_changed: Whether the last listing changed the paces.
        report_due: Whether the leader hasn't had a report in this session.
    """

    def __init__(self, *, agent):
        self._agent = agent
        self.target = None
        self._forget_life()

    def _forget_life(self):
        self.epoch = 0
        self.key = ''
        self.acked = 0
        self.listed_epoch = 0
        self.paces_changed = False
        self.report_due = False
        self.runs = {}
        self._feed = ''
        self._seen = 0
        self._lease_end = None
        self._clock_ms = None
        self._clock_at = None
        self._granted_ms = 0
        self._void_upto = 0
        self._granted_until = None
        self._former_deadline_ms = 0
        self._doubt_until = None
        self._trouble = ''
        self._listed = set()
        self._effects = {}
        self._pacer = pacing.Pacer()

    def handle_announcement(self, told):
        """Take a heartbeat over unless it is older than what is known.

        Returns:
            Whether a new life has begun.
        """
        known = self.target
        if known is None or _is_later_life(told, known):
            self._forget_life()
            self.target = told
            return True
        if told.state.born_ms < known.state.born_ms:
            return False
        same = told.state.id == known.state.id
        if same and told.sequence > known.sequence:
            self.target = told
        return False

    @property
    def draining(self):
        """Whether the backend server is about to leave."""
        return self.target is not None and self.target.state.draining

    def forget_epoch(self):
        """Ask for a new fencing token; the runs are listed anew."""
        target = self.target
        self._forget_life()
        self.target = target

    def build_poll(self):
        """Return the next ``Poll``."""
        return message.Poll(
            agent=self._agent,
            server=self.target.state,
            epoch=self.epoch,
            feed=self._feed,
            seen=self._seen,
        )

    def note_poll(self, reply, sent_at, now):
        """Take over a ``PollReply``; return the orders that are new here."""
        self.key = reply.key
        if reply.epoch != self.epoch:
            self.epoch = reply.epoch
            self._inherit(reply, now)
        if reply.feed != self._feed:
            self._feed = reply.feed
            self._seen = 0
            self.report_due = True
        self._seen = max(self._seen, reply.last)
        end = sent_at + reply.lease_ms * MS
        if self._lease_end is None or end > self._lease_end:
            self._lease_end = end
        self.acked = max(self.acked, reply.acked)
        return [order for order in reply.orders if self._is_new(order, now)]

    def _inherit(self, reply, now):
        """Note until when an earlier agent's runs may have been alive."""
        if reply.doubt_ms:
            self._former_deadline_ms = reply.former_deadline_ms
            self._doubt_until = now + reply.doubt_ms * MS

    def _is_new(self, order, now):
        known = self.runs.get(order.run)
        if order.kind == message.OrderKind.START:
            if known is not None:
                known.order = known.order or order
                return False
            phase = RunPhase.STARTING
            if order.run in self._listed:
                phase = RunPhase.STARTED
            # A run that an earlier agent started may have any pace.
            percent = (
                None if phase == RunPhase.STARTED else pacing.FULL_PERCENT
            )
            self.runs[order.run] = OrderedRun(
                order=order, phase=phase, since=now, percent=percent
            )
            if order.best_effort:
                self._pace(order)
            return phase == RunPhase.STARTING
        if known is None:
            known = OrderedRun(order=None, phase=RunPhase.STARTED, since=now)
            self.runs[order.run] = known
        news = not known.stopping
        known.stopping = True
        return news

    def _pace(self, order):
        cpu = max(self.target.state.cpu, 1)
        self._pacer.add(
            order.run,
            image=order.image,
            tenths=TENTHS * order.cpu / cpu,
            rank=order.rank,
            percent=order.percent,
        )

    def may_start(self, run):
        """Return whether the start of ``run`` may still be sent."""
        known = self.runs.get(run)
        if known is None or known.stopping:
            return False
        return not self.draining

    def set_phase(self, run, phase, now, *, trouble=''):
        """Note how far an order has come, and trouble that it met."""
        known = self.runs.get(run)
        if known is not None:
            known.phase = phase
            known.since = now
        self._trouble = trouble or self._trouble

    def find_deadline(self, now):
        """Return until when runs may live, on the server's clock in ms.

        None where the lease has run out or the server's clock isn't known,
        also where the deadline granted last may have passed: a new one must
        not hide that. The caller passes it on in a call; it is counted as
        granted.
        """
        if self._clock_ms is None or self._lease_end is None:
            return None
        if self._doubt_until is not None:
            return None
        if now >= self._lease_end:
            return None
        elapsed_ms = (now - self._clock_at) / MS
        if 0 < self._granted_ms <= self._clock_ms + elapsed_ms:
            return None
        rest = self._lease_end - self._clock_at
        deadline = self._clock_ms + int(rest / MS)
        if deadline > self._granted_ms:
            self._granted_ms = deadline
            drift = 1 + workflow_options.MAX_DRIFT
            self._granted_until = self._clock_at + rest * drift
        return self._granted_ms

    def has_lapsed(self, now, margin):
        """Return whether all that could run has surely lapsed."""
        if self._granted_until is None:
            return False
        return now >= self._granted_until + margin

    def is_listed(self, run):
        """Return whether the backend server listed ``run`` last."""
        return run in self._listed

    def note_listing(self, listing, epoch, sent_at, now):
        """Take over what the backend server lists; return a ``Report``.

        Args:
            listing: The ``Listing``.
            epoch: Fencing token that it was asked for with.
            sent_at: When it was asked for, monotonic.
            now: When it arrived, monotonic.
        """
        if not self._settle_doubt(listing, now):
            return self._build_report(listing)
        if 0 < self._granted_ms <= listing.clock_ms:
            # The lease ran out; what was listed before never counts.
            self._granted_ms = 0
            self._void_upto = _find_last(listing)
        self._clock_ms = listing.clock_ms
        self._clock_at = now
        ends = [end for end in listing.ends if end.number > self.acked]
        ends = _void_lapsed(ends, self._void_upto)
        self._listed = {row.run for row in listing.running}
        self.listed_epoch = epoch
        self._settle_doubtful({end.run for end in ends}, sent_at)
        self._update_paces(listing.running, now)
        return self._build_report(
            listing,
            ends=ends + self._list_absent(),
            upto=max((end.number for end in ends), default=0),
            listed=True,
            paused=self._pacer.list_slow(now),
            trouble=self._trouble,
        )

    def _build_report(self, listing, **fields):
        return message.Report(
            agent=self._agent,
            key=self.key,
            epoch=self.epoch,
            running=listing.running,
            deadline_ms=self._granted_ms,
            **fields,
        )

    def _settle_doubt(self, listing, now):
        """Find out whether the lease ran out under an earlier agent.

        Ends from before a lapse never count, others always do. Where
        neither is certain, nothing is kept alive until a lapse is.

        Returns:
            Whether it is known.
        """
        if self._doubt_until is None:
            return True
        if listing.clock_ms < self._former_deadline_ms:
            self._granted_ms = self._former_deadline_ms
        elif now >= self._doubt_until:
            self._void_upto = _find_last(listing)
        elif not self._is_lapse_harmless(listing):
            return False
        self._doubt_until = None
        return True

    def _is_lapse_harmless(self, listing):
        if all(end.how != DONE for end in listing.ends):
            return True
        # What still works there has outlived a deadline that isn't known.
        return bool(listing.running) and not self._former_deadline_ms

    def _settle_doubtful(self, ended, sent_at):
        for ref, known in self.runs.items():
            if known.phase != RunPhase.DOUBTFUL or sent_at < known.since:
                continue
            if ref not in self._listed and ref not in ended:
                known.phase = RunPhase.ABSENT

    def _list_absent(self):
        return [
            workflow_commands.RunEnd(0, ref, REJECTED)
            for ref, known in self.runs.items()
            if known.phase == RunPhase.ABSENT
        ]

    def _update_paces(self, running, now):
        tails = self.list_tails(running)
        self.paces_changed = self._pacer.update(tails, self._effects, now)

    def list_tails(self, running):
        """Return the ``Tail`` rows of those runs that serve users."""
        tails = []
        for row in running:
            known = self.runs.get(row.run)
            order = known.order if known else None
            if order is not None and order.target_ms:
                tails.append(
                    pacing.Tail(
                        run=row.run,
                        image=order.image,
                        latency_ms=row.gauge,
                        target_ms=order.target_ms,
                    )
                )
        return tails

    def list_paces(self):
        """Return the (run, percentage) pairs whose pace is to be set."""
        return [
            (ref, self._pacer.get_percent(ref))
            for ref, known in self.runs.items()
            if known.order is not None
            and known.order.best_effort
            and known.phase == RunPhase.STARTED
            and known.percent != self._pacer.get_percent(ref)
        ]

    @property
    def share(self):
        """Mean percentage at which best-effort tasks work."""
        return self._pacer.share

    def get_percent(self, run):
        """Return at which percentage a best-effort run may work."""
        return self._pacer.get_percent(run)

    def note_pace(self, run, percent):
        """Note that a run's pace was set."""
        known = self.runs.get(run)
        if known is not None:
            known.percent = percent

    def note_reported(self, report, reply):
        """Forget what the leader has taken over."""
        self.acked = max(self.acked, reply.acked)
        self.report_due = False
        self._effects.update(
            {(row.serving, row.image): row.per_tenth for row in reply.effects}
        )
        for end in report.ends:
            if end.number <= self.acked:
                self.runs.pop(end.run, None)
                self._pacer.remove(end.run)
        if report.trouble == self._trouble:
            self._trouble = ''


def _is_later_life(told, known):
    if told.state.born_ms > known.state.born_ms:
        return True
    older = told.state.born_ms < known.state.born_ms
    return not older and told.state.id != known.state.id


def _find_last(listing):
    """Return the number of the newest end that is listed."""
    return max((end.number for end in listing.ends), default=0)


def _void_lapsed(ends, void_upto):
    """Return the ends without those that a lapse of the lease has voided.

    An end that the leader hadn't taken over when the lease ran out doesn't
    count: the leader may have given the task to another server since.

    Args:
        ends: The ``RunEnd`` rows.
        void_upto: Number up to which all are void.
    """
    lapsed = [end.number for end in ends if end.how == LAPSED]
    void_upto = max([void_upto, *lapsed])
    return [
        workflow_commands.RunEnd(end.number, end.run, LAPSED, end.checkpoint)
        if end.how == DONE and end.number <= void_upto
        else end
        for end in ends
    ]
