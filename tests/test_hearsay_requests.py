"""What an entry may take for "not run".

Guards against a request that runs twice, or that is answered with "not run"
though it ran: an agent that answers a revocation may have forgotten the
request, or never have been sent it.
"""

import threading

import testtools

from bilberryhaven.agent import admission
from bilberryhaven.agent import effects
from bilberryhaven import clock as clocks
from bilberryhaven.entry import effect
from bilberryhaven.entry import service
from bilberryhaven import errors
from bilberryhaven.wire import message
from tests import entry_fakes
from tests import test_entry_core

LONG_S = 120
FIRST, SECOND = 11, 12


class Connection:
    """Client to an agent that has answered."""

    def __init__(self, reply):
        self._reply = reply

    def send(self, address, msg, *, timeout, step):
        return self._reply


class RequestTestCase(test_entry_core.CoreTestCase):
    """An entry that dispatches to agents by name."""

    def setUp(self):
        super().setUp()
        self.agents = {}
        self.sync_agents('a', 'b')

    def advance(self, seconds):
        self.clock.advance(clocks.seconds(seconds))
        self.sync()

    def sync_agents(self, *names, full=False, incarnation=FIRST):
        rows = [
            test_entry_core.build_instance(
                name,
                load=message.Load(slots=8, incarnation=incarnation),
            )
            for name in names
        ]
        self.sync(*rows, full=full)

    def dispatch(self, *, workload='price', seconds=LONG_S, **fields):
        item = effect.Request(
            id='r',
            workload=workload,
            timeout=clocks.seconds(seconds),
            **fields,
        )
        result = self.core.submit('caller', item)[-1]
        if isinstance(result, effect.Claim):
            result = self.grant(result)
        return result

    def lose(self, dispatch, outcome=errors.Outcome.UNKNOWN):
        """Lose the answer to a dispatch; return the effects."""
        error = errors.PeerError('lost', step='dispatch', outcome=outcome)
        return self.core.handle_dispatch_error(dispatch, error)

    def check_outcome(self, effects_, outcome):
        self.assertEqual([effect.Respond], [type(row) for row in effects_])
        self.assertEqual(outcome, effects_[0].response.error.outcome)

    def check_dispatched(self, effects_, count=1):
        kinds = [type(row) for row in effects_]
        self.assertEqual([effect.Dispatch] * count, kinds)


class AgentHostTestCase(RequestTestCase):
    """Agents with the admission core of a real one."""

    def start_agent(self, incarnation):
        core = admission.AdmissionCore(
            now=self.clock.monotonic(), incarnation=incarnation
        )
        core.renew_lease(
            self.clock.monotonic() + clocks.seconds(1000), self.view.revision
        )
        return core

    def run_request(self, core, dispatch):
        """Run a dispatched request; its answer is lost."""
        now = self.clock.monotonic()
        msg = dispatch.message
        request = effects.Request(
            ticket=1,
            request_id=msg.request_id,
            fingerprint='f',
            deadline_at=now + clocks.seconds(msg.deadline_ms / 1000),
            idempotent=msg.idempotent,
            revision=msg.revision,
            incarnation=msg.incarnation,
        )
        started = core.admit(request, now)
        self.assertEqual([effects.Run], [type(row) for row in started])
        core.complete(msg.request_id, b'', now)

    def revoke(self, core, revoke):
        states, _ = core.revoke([revoke.request_id], self.clock.monotonic())
        reply = message.RevokeReply(
            states=[str(state) for state in states], load=core.build_load()
        )
        shell = service.EntryService(
            name='e',
            core=self.core,
            view=self.view,
            lock=threading.Lock(),
            client=Connection(reply),
            leader=None,
            syncer=None,
            clock=self.clock,
            metrics=None,
        )
        self.addCleanup(shell.close)
        return shell._run_effect(revoke)


class LateRevocationTest(AgentHostTestCase):
    """The answer to a revocation that comes late is no proof.

    An agent knows what became of a request for less time than a caller may
    wait for it.
    """

    def setUp(self):
        super().setUp()
        self.agent = self.start_agent(FIRST)
        # Its records are complete.
        self.advance(100)

    def check(self, waits, outcome, *, workload='price', restart_s=None):
        dispatch = self.dispatch(workload=workload)
        self.run_request(self.agent, dispatch)
        if restart_s is not None:
            self.advance(restart_s)
            self.agent = self.start_agent(SECOND)
        self.advance(waits - (restart_s or 0))
        [revoke] = self.lose(dispatch)
        self.check_outcome(self.revoke(self.agent, revoke), outcome)

    def test_soon(self):
        self.check(1, errors.Outcome.RAN)

    def test_before_the_record_expires(self):
        self.check(45, errors.Outcome.RAN)

    def test_after_the_record_has_expired(self):
        self.check(60, errors.Outcome.UNKNOWN)

    def test_at_the_deadline(self):
        self.check(119, errors.Outcome.UNKNOWN)

    def test_request_that_must_not_run_twice(self):
        self.check(119, errors.Outcome.UNKNOWN, workload='recipe')

    def test_agent_was_started_again_just_before(self):
        self.check(12, errors.Outcome.UNKNOWN, restart_s=10)

    def test_agent_was_started_again_long_ago(self):
        self.check(110, errors.Outcome.UNKNOWN, restart_s=10)

    def test_request_that_never_arrived_is_sent_elsewhere(self):
        dispatch = self.dispatch(workload='recipe')
        self.advance(1)
        [revoke] = self.lose(dispatch)
        self.check_dispatched(self.revoke(self.agent, revoke))

    def test_no_dispatch_is_awaited_for_longer_than_agents_know_of_it(self):
        """Otherwise the outcome of a lost one could never be found out."""
        dispatch = self.dispatch()
        self.run_request(self.agent, dispatch)
        self.advance(dispatch.timeout.total_seconds())
        [revoke] = self.lose(dispatch)
        self.check_outcome(self.revoke(self.agent, revoke), errors.Outcome.RAN)


class RepeatedRequestTest(testtools.TestCase):
    """An agent keeps a record for all entries that may ask for it.

    A repeat that joins the request, or gets its stored answer, has a deadline
    of its own, until which its entry may revoke it.
    """

    ID = 'r'

    def setUp(self):
        super().setUp()
        self.now_s = 100.0
        self.tickets = 0
        self.agent = admission.AdmissionCore(incarnation=FIRST)
        self.agent.renew_lease(clocks.seconds(10_000), 1)

    @property
    def now(self):
        return clocks.seconds(self.now_s)

    def admit(self, wait_s, request_id=ID):
        self.tickets += 1
        request = effects.Request(
            ticket=self.tickets,
            request_id=request_id,
            fingerprint=request_id,
            deadline_at=self.now + clocks.seconds(wait_s),
            revision=1,
            incarnation=FIRST,
        )
        return self.agent.admit(request, self.now)

    def run_request(self, wait_s, request_id=ID):
        self.admit(wait_s, request_id)
        self.agent.complete(request_id, b'', self.now)

    def check_known(self, seconds):
        """Check that the run is known for so long, and then forgotten."""
        self.now_s += seconds - 0.5
        states, _ = self.agent.revoke([self.ID], self.now)
        self.assertEqual([effects.RunState.FINISHED], states)
        self.now_s += 1
        states, _ = self.agent.revoke([self.ID], self.now)
        self.assertEqual([effects.RunState.NOT_RUN], states)

    def test_request_alone(self):
        self.run_request(1)
        self.check_known(1 + 20)

    def test_longer_deadline_than_an_agent_grants(self):
        self.run_request(100)
        self.check_known(30 + 20)

    def test_repeat_that_joins_it(self):
        self.admit(1)
        self.admit(25)
        self.agent.complete(self.ID, b'', self.now)
        self.check_known(25 + 20)

    def test_repeat_with_an_earlier_deadline(self):
        self.admit(25)
        self.admit(1)
        self.agent.complete(self.ID, b'', self.now)
        self.check_known(25 + 20)

    def test_repeat_that_gets_the_stored_answer(self):
        self.run_request(1)
        self.now_s += 15
        [reply] = self.admit(25)
        self.assertEqual('', reply.result.code)
        self.check_known(25 + 20)

    def test_repeat_that_is_refused_while_it_may_run(self):
        self.admit(1)
        unknown = errors.Outcome.UNKNOWN
        self.agent.fail(self.ID, 'peer', 'lost', unknown, self.now)
        [reply] = self.admit(25)
        self.assertEqual(unknown, reply.result.outcome)
        state = effects.RunState.FINISHED
        self.agent.resolve(self.ID, state, self.now)
        self.now_s += 40
        states, _ = self.agent.revoke([self.ID], self.now)
        self.assertEqual([effects.RunState.STARTED], states)

    def test_repeats_delay_the_removal_of_no_other_record(self):
        """Otherwise one caller could fill the table."""
        self.run_request(1)
        self.run_request(1, 'other')
        for _ in range(5):
            self.now_s += 15
            self.admit(1)
        self.assertEqual(1, len(self.agent._dedup))


class OtherAgentTest(AgentHostTestCase):
    """An agent answers at the address of the one that got the dispatch."""

    def setUp(self):
        super().setUp()
        self.first = self.start_agent(FIRST)
        self.second = self.start_agent(SECOND)
        self.advance(100)

    def revoke_at_second(self):
        dispatch = self.dispatch(workload='recipe')
        self.run_request(self.first, dispatch)
        self.advance(1)
        [revoke] = self.lose(dispatch)
        return self.revoke(self.second, revoke)

    def test_its_word_is_no_proof(self):
        self.check_outcome(self.revoke_at_second(), errors.Outcome.UNKNOWN)

    def test_nor_if_the_address_is_announced_for_it(self):
        self.sync_agents('a', 'b', incarnation=FIRST)
        dispatch = self.dispatch(workload='recipe')
        self.run_request(self.first, dispatch)
        self.sync_agents('a', 'b', incarnation=SECOND)
        [revoke] = self.lose(dispatch)
        self.check_outcome(
            self.revoke(self.second, revoke), errors.Outcome.UNKNOWN
        )


class RefusedConnectionTest(RequestTestCase):
    """A refused connection is proof for its own dispatch only."""

    def test_first_dispatch(self):
        dispatch = self.dispatch(workload='recipe')
        self.check_dispatched(self.lose(dispatch, errors.Outcome.NOT_RUN))

    def test_every_dispatch(self):
        dispatch = self.dispatch(workload='recipe')
        [second] = self.lose(dispatch, errors.Outcome.NOT_RUN)
        [resync] = self.lose(second, errors.Outcome.NOT_RUN)
        self.sync_agents(full=True)
        self.check_outcome(
            self.core.handle_synced(resync.request_id),
            errors.Outcome.NOT_RUN,
        )

    def test_after_a_dispatch_that_may_have_run(self):
        dispatch = self.dispatch(idempotent=True)
        revoke, second = self.lose(dispatch)
        self.assertFalse(revoke.awaited)
        refused = self.lose(second, errors.Outcome.NOT_RUN)
        self.check_outcome(refused, errors.Outcome.UNKNOWN)

    def test_of_the_revocation(self):
        """Nothing is known of a dispatch whose revocation wasn't answered."""
        dispatch = self.dispatch(workload='recipe')
        [revoke] = self.lose(dispatch)
        self.check_outcome(
            self.core.handle_revoked(revoke, ''), errors.Outcome.UNKNOWN
        )


class ListTest(RequestTestCase):
    """The leader's list says where to send requests, and ends none."""

    def check_in_progress(self, dispatch):
        self.assertTrue(self.core.is_pending('r'))
        body = entry_fakes.build_reply('r', b'answer')
        [respond] = self.core.handle_reply(dispatch, body)
        self.assertEqual(b'answer', respond.response.body)

    def check_list(self, *rows, full):
        dispatch = self.dispatch(workload='recipe')
        self.sync(*rows, full=full)
        self.assertEqual([], self.core.tick())
        self.check_in_progress(dispatch)

    def build_rows(self, **fields):
        return [
            test_entry_core.build_instance(name, **fields) for name in 'ab'
        ]

    def test_instances_are_absent(self):
        self.check_list(full=True)

    def test_instances_are_disconnected(self):
        self.check_list(*self.build_rows(connected=False), full=False)

    def test_instances_drain(self):
        self.check_list(*self.build_rows(draining=True), full=False)

    def test_instances_are_quarantined(self):
        self.check_list(*self.build_rows(quarantined='odd'), full=False)

    def test_instances_are_replaced(self):
        load = message.Load(slots=8, incarnation=SECOND)
        self.check_list(*self.build_rows(load=load), full=True)

    def test_revocation_goes_where_the_dispatch_went(self):
        dispatch = self.dispatch(workload='recipe')
        row = message.InstanceView(
            name=dispatch.target.name, address='elsewhere:1'
        )
        self.sync(row)
        [revoke] = self.lose(dispatch)
        self.assertEqual(dispatch.address, revoke.address)
