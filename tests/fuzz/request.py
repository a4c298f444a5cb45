"""Stateful fuzzing of the entry's request core against a simple oracle."""

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

MS = datetime.timedelta(milliseconds=1)
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
    """One request as the core accepted it, and what became of it."""

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
    """A request that an agent started; ``copy`` is its packet."""

    dispatch: effect.Dispatch
    submission: Submission
    done: bool = False


class Agent:
    """Oracle of one agent: runs each id once, obeys tombstones."""

    def __init__(self):
        self.restart()

    def restart(self):
        self.buried = set()
        self.runs = {}
        self.amnesia = getattr(self, 'amnesia', None) is not None

    def revoke(self, request_id):
        run = self.runs.get(request_id)
        if run is not None:
            return 'finished' if run.done else 'started'
        self.buried.add(request_id)
        return 'started' if self.amnesia else 'not_run'


def answer_to(item):
    return f'answer to {item.id} '.encode() + item.body


class RequestMachine(stateful.RuleBasedStateMachine):
    """Callers, network, leader and agents around one request core."""

    def __init__(self):
        super().__init__()
        self.clock = clock.ManualClock()
        self.agents = {name: Agent() for name in INSTANCES}
        self.claims = {}
        self.answered = {}
        self.requests = {}
        self.submissions = []
        self.names = 0
        self.recipe_runs = collections.Counter()
        self.quiet = logbook.NullHandler()
        self.quiet.push_application()
        self.start_entry()

    def teardown(self):
        self.quiet.pop_application()

    def start_entry(self):
        self.names += 1
        self.packets, self.replies, self.waiting = [], [], []
        self.revokes, self.asked, self.resyncs = [], [], []
        self.owners = {}
        self.current, self.final, self.accepted = {}, {}, 0
        self.retries = self.extra = 0
        self.view = view.View()
        self.core = request.RequestCore(
            name=f'entry{self.names}',
            view=self.view,
            policy=route_two_choice.TwoChoicePolicy(
                random=random.Random(self.names)
            ),
            clock=self.clock,
            random=random.Random(self.names),
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

    def carry_out(self, effects, cause=''):
        for item in effects:
            if isinstance(item, effect.Respond):
                self.check_answer(item)
            elif isinstance(item, effect.Dispatch):
                self.check_dispatch(item, cause)
            elif isinstance(item, effect.Revoke):
                self.revokes.append(item)
            elif isinstance(item, effect.Claim):
                self.asked.append(item)
            else:
                self.resyncs.append(item)

    def check_dispatch(self, item, cause):
        now = self.clock.monotonic()
        assert self.view.has_lease(now), 'dispatched without a lease'
        submission = self.current[item.request_id]
        assert item.message.deadline_ms * MS < submission.deadline - now
        assert not submission.cancelled, 'dispatched after its cancellation'
        submission.dispatches += 1
        assert submission.dispatches <= LIMITS.attempts
        if submission.may_have_run:
            assert submission.request.idempotent and submission.repeatable
        if submission.dispatches > 1:
            self.extra += 1
            self.retries += cause != 'not_accepted'
        self.check_budget()
        if not submission.repeatable:
            holder = self.claims.get(item.request_id, '')
            assert holder.startswith(f'{self.core.name}/')
        self.packets.append((item, submission))
        self.owners[item] = submission
        self.waiting.append(item)

    def check_budget(self):
        spent = self.core.budgets
        assert self.retries <= spent.retries
        assert self.extra <= spent.retries + spent.failovers
        count = self.accepted + 1e-6
        bound = LIMITS.retry_burst + LIMITS.retry_ratio * count
        assert spent.retries <= bound
        bound = LIMITS.failover_burst + LIMITS.failover_ratio * count
        assert spent.failovers <= bound

    def check_answer(self, item):
        caller, response = item.caller, item.response
        assert caller in self.answered, 'a stranger was answered'
        assert self.answered[caller] is None, 'answered twice'
        self.answered[caller] = response
        if response.error is None:
            expected = answer_to(self.requests[caller])
            assert response.body == expected, 'not its own whole answer'
        submission = self.current.get(response.request_id)
        if submission is None or caller not in submission.callers:
            return
        if response.error is None:
            assert submission.runs
        else:
            submission.outcome = response.error.outcome
        if submission.request.has_idempotency_key and response.error is None:
            self.final[response.request_id] = response.body
        submission.callers.remove(caller)
        if not submission.callers:
            del self.current[response.request_id]

    def take(self, items, pick):
        return items.pop(pick % len(items))

    @stateful.rule(data=st.data())
    def act(self, data):
        """Draw one of the actions that are possible now."""
        possible = []
        for action, weight, items in (
            (self.submit, 6, True),
            (self.arrive, 10, self.packets),
            (self.reply, 8, self.replies),
            (self.finish, 2, self.list_runs()),
            (self.answer_claim, 4, self.asked),
            (self.revoke, 4, self.revokes),
            (self.break_connection, 2, self.waiting),
            (self.renew, 1 + 3 * len(self.resyncs), True),
            (self.advance, 2, True),
            (self.cancel, 1, self.current),
            (self.leave, 1, self.current),
            (self.restart_agent, 1, self.current),
            (self.restart_entry, 1, len(self.submissions) > 4),
        ):
            possible += [action] * weight if items else []
        # Uniform draws; sampled_from would favour the first actions.
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
        self.names += 1
        item = effect.Request(
            id=key or f'r{self.names}',
            workload=workload,
            body=body,
            timeout=timeout * MS,
            idempotent=idempotent,
            has_idempotency_key=bool(key),
        )
        caller = f'caller{self.names}'
        self.answered[caller] = None
        self.requests[caller] = item
        known = self.current.get(item.id)
        stored = self.final.get(item.id)
        effects = self.core.submit(caller, item)
        if known is not None and not effects:
            known.callers.append(caller)
        elif known is None and self.core.is_pending(item.id):
            assert stored is None, 'a stored answer was forgotten'
            self.accepted += 1
            end = self.clock.monotonic() + item.timeout
            known = Submission(item, [caller], workload == 'price', end)
            self.current[item.id] = known
            self.submissions.append(known)
        self.carry_out(effects)

    def cancel(self, draw):
        pick = draw(PICK)
        ids = sorted(self.current)
        request_id = ids[pick % len(ids)]
        self.current[request_id].cancelled = True
        self.carry_out(self.core.cancel(request_id))

    def leave(self, draw):
        pick = draw(PICK)
        ids = sorted(self.current)
        submission = self.current[ids[pick % len(ids)]]
        caller = submission.callers[pick % len(submission.callers)]
        if submission.dispatches:
            self.carry_out(
                self.core.handle_caller_timeout(caller, submission.request.id)
            )

    # Leader

    def answer_claim(self, draw):
        pick = draw(PICK)
        lost = draw(st.sampled_from(('', '', 'way', 'back')))
        claim = self.take(self.asked, pick)
        if draw(st.booleans()):
            self.asked.append(claim)
        if lost != 'way':
            self.claims.setdefault(claim.request_id, claim.holder)
        error = errors.PeerError('lost', step='claim', outcome='not_run')
        granted = not lost and self.claims[claim.request_id] == claim.holder
        if not lost and not granted:
            error = errors.RefusedError(
                'claimed', step='claim', outcome='unknown'
            )
        self.carry_out(
            self.core.handle_claim(claim, granted=granted, error=error)
        )

    def renew(self, _):
        self.sync()
        resyncs, self.resyncs = self.resyncs, []
        for item in resyncs:
            self.carry_out(
                self.core.handle_synced(item.request_id), 'not_accepted'
            )

    # Network and agents

    def arrive(self, draw):
        pick = draw(PICK)
        again = draw(st.sampled_from((False, False, True)))
        refusal = draw(st.sampled_from(('', '', '', 'overload', 'refused')))
        code = draw(st.sampled_from(('', 'internal', 'wait')))
        item, submission = self.packets[pick % len(self.packets)]
        if not again:
            self.packets.remove((item, submission))
        agent = self.agents[item.target.name]
        msg = item.message
        if msg.request_id in agent.buried:
            refusal = 'refused'
        elif msg.request_id in agent.runs:
            return
        if refusal:
            reply = entry_fakes.build_reply(
                msg.request_id, code=refusal, outcome='not_run'
            )
            self.replies.append((item, reply))
            if again:
                agent.buried.add(msg.request_id)
            return
        run = agent.runs[msg.request_id] = Run(item, submission)
        submission.runs += 1
        self.recipe_runs[msg.request_id] += msg.workload == 'recipe'
        if code != 'wait':
            self.end(run, code)

    def finish(self, draw):
        pick = draw(PICK)
        code = draw(st.sampled_from(('', '', '', 'internal')))
        runs = self.list_runs()
        self.end(runs[pick % len(runs)], code)

    def end(self, run, code):
        run.done = True
        body = b'' if code else answer_to(run.submission.request)
        reply = entry_fakes.build_reply(
            run.dispatch.request_id, body, code, 'ran' if code else ''
        )
        self.replies.append((run.dispatch, reply))

    def reply(self, draw):
        pick = draw(PICK)
        twice = draw(st.booleans())
        damage = draw(st.sampled_from(('', '', 'cut', 'flip', 'crossed')))
        item, reply = self.take(self.replies, pick)
        if twice:
            self.replies.append((item, reply))
        others = [other for _, other in self.replies]
        others = [o for o in others if o.request_id != reply.request_id]
        if damage == 'crossed' and others:
            reply = others[pick % len(others)]
        elif damage == 'cut' and not reply.code:
            reply = dataclasses.replace(reply, body=reply.body[:-1])
        elif damage == 'flip' and not reply.code:
            body = bytes([reply.body[0] ^ 1]) + reply.body[1:]
            reply = dataclasses.replace(reply, body=body)
        self.note(item, reply.outcome != 'not_run')
        cause = 'not_accepted' if reply.code == 'refused' else ''
        self.carry_out(self.core.handle_reply(item, reply), cause)
        self.discard(item)

    def note(self, item, may_have_run):
        """Record what the entry can know of a dispatch."""
        if item in self.waiting and may_have_run:
            self.owners[item].may_have_run = True

    def discard(self, item):
        if item in self.waiting:
            self.waiting.remove(item)

    def break_connection(self, draw):
        pick = draw(PICK)
        made = draw(st.booleans())
        item = self.waiting[pick % len(self.waiting)]
        untouched = any(packet is item for packet, _ in self.packets)
        made = made or not untouched or self.was_delivered(item)
        if not made:
            self.packets = [p for p in self.packets if p[0] is not item]
        self.note(item, made)
        error = errors.PeerError(
            'broken', step='dispatch', outcome='unknown' if made else 'not_run'
        )
        self.carry_out(
            self.core.handle_dispatch_error(item, error),
            '' if made else 'not_accepted',
        )
        self.discard(item)

    def was_delivered(self, item):
        agent = self.agents[item.target.name]
        run = agent.runs.get(item.request_id)
        return run is not None or item.request_id in agent.buried

    def revoke(self, draw):
        pick = draw(PICK)
        lost = draw(st.sampled_from(('', '', 'way', 'back')))
        item = self.take(self.revokes, pick)
        name = item.dispatch.target.name
        state = ''
        if lost != 'way':
            state = self.agents[name].revoke(item.request_id)
        if lost:
            state = ''
        if not item.awaited:
            return
        submission = self.current.get(item.request_id)
        newest = submission and submission.dispatches == (
            item.dispatch.message.attempt
        )
        if newest and state == 'not_run' and submission.runs == 0:
            submission.may_have_run = False
        self.carry_out(self.core.handle_revoked(item, state))

    # Time and restarts

    def advance(self, draw):
        step = draw(st.sampled_from((1, 1, 1, 1, 30, 30, 30, 500, 3000)))
        self.clock.advance(step * MS)
        self.carry_out(self.core.tick())
        now = self.clock.monotonic()
        assert all(item.deadline > now for item in self.current.values())

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
    def work_runs_as_told(self):
        for item in self.submissions:
            if not (item.request.idempotent and item.repeatable):
                assert item.runs <= 1, 'ran twice'
            if item.outcome == errors.Outcome.NOT_RUN:
                assert item.runs == 0, 'ran after "not run"'
        assert max(self.recipe_runs.values(), default=0) <= 1

    @stateful.invariant()
    def in_flight_is_counted(self):
        for target in self.view.targets.values():
            held = [item for item in self.waiting if item.target is target]
            assert target.in_flight == len(held)

    @stateful.invariant()
    def core_is_bounded(self):
        assert len(self.core) <= LIMITS.pending
        assert set(self.current) == set(self.core.list_pending_ids())


def run(seed, *, examples=2000, steps=80):
    """Fuzz with ``seed``; raise on the first violated property."""
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
