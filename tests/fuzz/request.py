"""Stateful fuzz test of the entry's request core against a model."""

import collections
import contextlib
import dataclasses
import datetime
import io
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import logbook

from bilberryhaven import clock
from bilberryhaven.entry import effect
from bilberryhaven.entry import request
from bilberryhaven.entry import request_state
from bilberryhaven.entry import responses
from bilberryhaven.entry import view
from bilberryhaven import errors
from bilberryhaven.policies import route_two_choice
from bilberryhaven.wire import message
from tests import entry_fakes

MILLISECOND = datetime.timedelta(milliseconds=1)
INSTANCES = ('a', 'b', 'c')
KEYS = ('k1', 'k2', 'k3', '', '', '')
LIMITS = request_state.Limits(
    pending=8,
    callers=3,
    retry_ratio=0.2,
    retry_burst=4,
    failover_ratio=0.2,
    failover_burst=3,
)
PICK = st.integers(0, 1000)


@dataclasses.dataclass(eq=False)
class Submission:
    """A request that the core accepted, and its observed results."""

    request: effect.Request
    callers: list
    repeatable: bool
    deadline: datetime.timedelta
    cancelled: bool = False
    runs: int = 0
    dispatches: int = 0
    may_have_run: bool = False
    outcome: str = ''


@dataclasses.dataclass(eq=False)
class Run:
    """A request that an agent started."""

    dispatch: effect.Dispatch
    submission: Submission
    done: bool = False


class Agent:
    """Model of an agent: runs each id once, and none that was revoked."""

    def __init__(self):
        self.restart()

    def restart(self):
        self.revoked_ids = set()
        self.runs = {}
        self.has_restarted = getattr(self, 'has_restarted', None) is not None

    def revoke(self, request_id):
        run = self.runs.get(request_id)
        if run is not None:
            return 'finished' if run.done else 'started'
        self.revoked_ids.add(request_id)
        return 'started' if self.has_restarted else 'not_run'


def build_response_body(item):
    return f'answer to {item.id} '.encode() + item.body


class RequestMachine(stateful.RuleBasedStateMachine):
    """Models callers, network, leader and agents around a request core."""

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock()
        self.agents = {name: Agent() for name in INSTANCES}
        self.claims = {}
        self.responses_by_caller = {}
        self.requests = {}
        self.submissions = []
        self.name_count = 0
        self.recipe_runs = collections.Counter()
        self.log_handler = logbook.NullHandler()
        self.log_handler.push_application()
        self.start_entry()

    def teardown(self):
        self.log_handler.pop_application()

    def start_entry(self):
        self.name_count += 1
        self.packets, self.replies, self.unanswered = [], [], []
        self.revokes, self.pending_claims, self.resyncs = [], [], []
        self.submissions_by_dispatch = {}
        self.submissions_by_id, self.stored_bodies, self.accepted = {}, {}, 0
        self.retries = self.extra_dispatches = 0
        self.view = view.View()
        self.core = request.RequestCore(
            name=f'entry{self.name_count}',
            view=self.view,
            policy=route_two_choice.TwoChoicePolicy(
                random=random.Random(self.name_count)
            ),
            clock=self.clock,
            random=random.Random(self.name_count),
            limits=LIMITS,
            response_cache=responses.ResponseCache(max_bytes=4000),
        )
        self.sync()

    def sync(self):
        now = self.clock.monotonic()
        rows = [
            message.InstanceView(name=name, address=f'{name}:1')
            for name in INSTANCES
        ]
        reply = entry_fakes.build_sync(rows)
        self.view.apply(reply, sent_at=now, now=now)

    # Effects

    def run_effects(self, effects, cause=''):
        for item in effects:
            if isinstance(item, effect.Respond):
                self.check_response(item)
            elif isinstance(item, effect.Dispatch):
                self.check_dispatch(item, cause)
            elif isinstance(item, effect.Revoke):
                self.revokes.append(item)
            elif isinstance(item, effect.Claim):
                self.pending_claims.append(item)
            else:
                self.resyncs.append(item)

    def check_dispatch(self, item, cause):
        now = self.clock.monotonic()
        assert self.view.has_lease(now), 'dispatched without a lease'
        submission = self.submissions_by_id[item.request_id]
        assert (
            item.message.deadline_ms * MILLISECOND < submission.deadline - now
        )
        assert not submission.cancelled, 'dispatched after its cancellation'
        submission.dispatches += 1
        assert submission.dispatches <= LIMITS.attempts
        if submission.may_have_run:
            assert submission.request.idempotent and submission.repeatable
        if submission.dispatches > 1:
            self.extra_dispatches += 1
            self.retries += cause != 'not_accepted'
        self.check_budget()
        if not submission.repeatable:
            holder = self.claims.get(item.request_id, '')
            assert holder.startswith(f'{self.core.name}/')
        self.packets.append((item, submission))
        self.submissions_by_dispatch[item] = submission
        self.unanswered.append(item)

    def check_budget(self):
        spent = self.core.budgets
        assert self.retries <= spent.retries
        assert self.extra_dispatches <= spent.retries + spent.failovers
        count = self.accepted + 1e-6
        bound = LIMITS.retry_burst + LIMITS.retry_ratio * count
        assert spent.retries <= bound
        bound = LIMITS.failover_burst + LIMITS.failover_ratio * count
        assert spent.failovers <= bound

    def check_response(self, item):
        caller, response = item.caller, item.response
        assert caller in self.responses_by_caller, (
            'unknown caller got a response'
        )
        assert self.responses_by_caller[caller] is None, (
            'caller got two responses'
        )
        self.responses_by_caller[caller] = response
        if response.error is None:
            expected = build_response_body(self.requests[caller])
            assert response.body == expected, (
                'response is not that of the request'
            )
        submission = self.submissions_by_id.get(response.request_id)
        if submission is None or caller not in submission.callers:
            return
        if response.error is None:
            assert submission.runs
        else:
            submission.outcome = response.error.outcome
        if submission.request.has_idempotency_key and response.error is None:
            self.stored_bodies[response.request_id] = response.body
        submission.callers.remove(caller)
        if not submission.callers:
            del self.submissions_by_id[response.request_id]

    def pop_item(self, items, pick):
        return items.pop(pick % len(items))

    @stateful.rule(data=st.data())
    def run_random_action(self, data):
        """Run one of the actions that are possible now."""
        possible = []
        for action, weight, items in (
            (self.submit, 6, True),
            (self.deliver_packet, 10, self.packets),
            (self.deliver_reply, 8, self.replies),
            (self.finish_run, 2, self.list_runs()),
            (self.reply_to_claim, 4, self.pending_claims),
            (self.revoke, 4, self.revokes),
            (self.break_connection, 2, self.unanswered),
            (self.renew_view, 1 + 3 * len(self.resyncs), True),
            (self.advance, 2, True),
            (self.cancel, 1, self.submissions_by_id),
            (self.time_out_caller, 1, self.submissions_by_id),
            (self.restart_agent, 1, self.submissions_by_id),
            (self.restart_entry, 1, len(self.submissions) > 4),
        ):
            possible += [action] * weight if items else []
        # Drawn uniformly, since sampled_from would favour the first actions.
        number = data.draw(st.integers(0, 2**32 - 1))
        action = random.Random(number).choice(possible)
        action(data.draw)

    def list_runs(self):
        return [
            run
            for agent in self.agents.values()
            for run in agent.runs.values()
            if not run.done
        ]

    # Callers

    def submit(self, draw):
        key = draw(st.sampled_from(KEYS))
        workload = draw(st.sampled_from(('price', 'price', 'recipe')))
        body = draw(st.sampled_from((b'1',) * 7 + (b'2',)))
        idempotent = draw(st.booleans())
        timeout = draw(st.sampled_from((400, 9000, 9000)))
        self.name_count += 1
        item = effect.Request(
            id=key or f'r{self.name_count}',
            workload=workload,
            body=body,
            timeout=timeout * MILLISECOND,
            idempotent=idempotent,
            has_idempotency_key=bool(key),
        )
        caller = f'caller{self.name_count}'
        self.responses_by_caller[caller] = None
        self.requests[caller] = item
        known = self.submissions_by_id.get(item.id)
        stored = self.stored_bodies.get(item.id)
        effects = self.core.submit(caller, item)
        if known is not None and not effects:
            known.callers.append(caller)
        elif known is None and self.core.is_pending(item.id):
            assert stored is None, 'a cached response was lost'
            self.accepted += 1
            deadline = self.clock.monotonic() + item.timeout
            known = Submission(item, [caller], workload == 'price', deadline)
            self.submissions_by_id[item.id] = known
            self.submissions.append(known)
        self.run_effects(effects)

    def cancel(self, draw):
        pick = draw(PICK)
        ids = sorted(self.submissions_by_id)
        request_id = ids[pick % len(ids)]
        self.submissions_by_id[request_id].cancelled = True
        self.run_effects(self.core.cancel(request_id))

    def time_out_caller(self, draw):
        pick = draw(PICK)
        ids = sorted(self.submissions_by_id)
        submission = self.submissions_by_id[ids[pick % len(ids)]]
        caller = submission.callers[pick % len(submission.callers)]
        if submission.dispatches:
            self.run_effects(
                self.core.handle_caller_timeout(caller, submission.request.id)
            )

    # Leader

    def reply_to_claim(self, draw):
        pick = draw(PICK)
        lost = draw(st.sampled_from(('', '', 'request', 'reply')))
        claim = self.pop_item(self.pending_claims, pick)
        if draw(st.booleans()):
            self.pending_claims.append(claim)
        if lost != 'request':
            self.claims.setdefault(claim.request_id, claim.holder)
        error = errors.PeerError('lost', step='claim', outcome='not_run')
        granted = not lost and self.claims[claim.request_id] == claim.holder
        if not lost and not granted:
            error = errors.RefusedError(
                'claimed', step='claim', outcome='unknown'
            )
        self.run_effects(
            self.core.handle_claim(claim, granted=granted, error=error)
        )

    def renew_view(self, _):
        self.sync()
        resyncs, self.resyncs = self.resyncs, []
        for item in resyncs:
            self.run_effects(
                self.core.handle_synced(item.request_id), 'not_accepted'
            )

    # Network and agents

    def deliver_packet(self, draw):
        pick = draw(PICK)
        duplicate = draw(st.sampled_from((False, False, True)))
        refusal = draw(st.sampled_from(('', '', '', 'overload', 'refused')))
        code = draw(st.sampled_from(('', 'internal', 'wait')))
        item, submission = self.packets[pick % len(self.packets)]
        if not duplicate:
            self.packets.remove((item, submission))
        agent = self.agents[item.target.name]
        msg = item.message
        if msg.request_id in agent.revoked_ids:
            refusal = 'refused'
        elif msg.request_id in agent.runs:
            return
        if refusal:
            reply = entry_fakes.build_reply(
                msg.request_id, code=refusal, outcome='not_run'
            )
            self.replies.append((item, reply))
            if duplicate:
                agent.revoked_ids.add(msg.request_id)
            return
        run = agent.runs[msg.request_id] = Run(item, submission)
        submission.runs += 1
        self.recipe_runs[msg.request_id] += msg.workload == 'recipe'
        if code != 'wait':
            self.end_run(run, code)

    def finish_run(self, draw):
        pick = draw(PICK)
        code = draw(st.sampled_from(('', '', '', 'internal')))
        runs = self.list_runs()
        self.end_run(runs[pick % len(runs)], code)

    def end_run(self, run, code):
        run.done = True
        body = b'' if code else build_response_body(run.submission.request)
        reply = entry_fakes.build_reply(
            run.dispatch.request_id, body, code, 'ran' if code else ''
        )
        self.replies.append((run.dispatch, reply))

    def deliver_reply(self, draw):
        pick = draw(PICK)
        duplicate = draw(st.booleans())
        damage = draw(
            st.sampled_from(('', '', 'truncated', 'corrupted', 'misdirected'))
        )
        item, reply = self.pop_item(self.replies, pick)
        if duplicate:
            self.replies.append((item, reply))
        others = [other for _, other in self.replies]
        others = [o for o in others if o.request_id != reply.request_id]
        if damage == 'misdirected' and others:
            reply = others[pick % len(others)]
        elif damage == 'truncated' and not reply.code:
            reply = dataclasses.replace(reply, body=reply.body[:-1])
        elif damage == 'corrupted' and not reply.code:
            body = bytes([reply.body[0] ^ 1]) + reply.body[1:]
            reply = dataclasses.replace(reply, body=body)
        self.record_outcome(item, reply.outcome != 'not_run')
        cause = 'not_accepted' if reply.code == 'refused' else ''
        self.run_effects(self.core.handle_reply(item, reply), cause)
        self.discard(item)

    def record_outcome(self, item, may_have_run):
        """Record whether, to the entry's knowledge, a request may have run."""
        if item in self.unanswered and may_have_run:
            self.submissions_by_dispatch[item].may_have_run = True

    def discard(self, item):
        if item in self.unanswered:
            self.unanswered.remove(item)

    def break_connection(self, draw):
        pick = draw(PICK)
        was_connected = draw(st.booleans())
        item = self.unanswered[pick % len(self.unanswered)]
        is_in_transit = any(packet is item for packet, _ in self.packets)
        was_connected = (
            was_connected or not is_in_transit or self.was_delivered(item)
        )
        if not was_connected:
            self.packets = [p for p in self.packets if p[0] is not item]
        self.record_outcome(item, was_connected)
        error = errors.PeerError(
            'broken',
            step='dispatch',
            outcome='unknown' if was_connected else 'not_run',
        )
        self.run_effects(
            self.core.handle_dispatch_error(item, error),
            '' if was_connected else 'not_accepted',
        )
        self.discard(item)

    def was_delivered(self, item):
        agent = self.agents[item.target.name]
        run = agent.runs.get(item.request_id)
        return run is not None or item.request_id in agent.revoked_ids

    def revoke(self, draw):
        pick = draw(PICK)
        lost = draw(st.sampled_from(('', '', 'request', 'reply')))
        item = self.pop_item(self.revokes, pick)
        name = item.dispatch.target.name
        state = ''
        if lost != 'request':
            state = self.agents[name].revoke(item.request_id)
        if lost:
            state = ''
        if not item.awaited:
            return
        submission = self.submissions_by_id.get(item.request_id)
        newest = submission and submission.dispatches == (
            item.dispatch.message.attempt
        )
        if newest and state == 'not_run' and submission.runs == 0:
            submission.may_have_run = False
        self.run_effects(self.core.handle_revoked(item, state))

    # Time and restarts

    def advance(self, draw):
        step = draw(st.sampled_from((1, 1, 1, 1, 30, 30, 30, 500, 3000)))
        self.clock.advance(step * MILLISECOND)
        self.run_effects(self.core.tick())
        now = self.clock.monotonic()
        assert all(
            item.deadline > now for item in self.submissions_by_id.values()
        )

    def restart_agent(self, draw):
        name = draw(st.sampled_from(INSTANCES))
        self.packets = [p for p in self.packets if p[0].target.name != name]
        self.replies = [r for r in self.replies if r[0].target.name != name]
        self.agents[name].restart()

    def restart_entry(self, _):
        packets = self.packets
        self.start_entry()
        self.packets = packets

    # Properties

    @stateful.invariant()
    def runs_match_reported_outcomes(self):
        for item in self.submissions:
            if not (item.request.idempotent and item.repeatable):
                assert item.runs <= 1, 'request ran twice'
            if item.outcome == errors.Outcome.NOT_RUN:
                assert item.runs == 0, (
                    'request ran despite the outcome not_run'
                )
        assert max(self.recipe_runs.values(), default=0) <= 1

    @stateful.invariant()
    def in_flight_counts_are_exact(self):
        for target in self.view.targets.values():
            held = [item for item in self.unanswered if item.target is target]
            assert target.in_flight == len(held)

    @stateful.invariant()
    def core_is_bounded(self):
        assert len(self.core) <= LIMITS.pending
        assert set(self.submissions_by_id) == set(self.core.list_pending_ids())


def run(seed, *, examples=2000, steps=80):
    """Run the fuzz test with ``seed``; raise on the first failure."""
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    machine = hypothesis.seed(seed)(RequestMachine)
    with contextlib.redirect_stderr(io.StringIO()):
        stateful.run_state_machine_as_test(machine, settings=settings)
