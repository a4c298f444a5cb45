"""Stateful fuzzing of workflows: leader, agents and servers on one clock.

The real dispatcher, planner, commands, sessions and run supervisors run
against models of servers. Faults are injected: messages are lost, orders are
executed late, servers answer as busy, agents and leaders are replaced,
servers crash and restart, agents are partitioned from the leader, zones are
withdrawn. The oracle observes the servers and checks that no task runs twice
or after its end was acknowledged, that no server exceeds its capacity and
that no start is sent in a zone long after its withdrawal. After all faults
have ended, every workflow must complete.
"""

import concurrent.futures
import dataclasses
import random

from bilberryhaven import clock as clocks
from bilberryhaven.control import machine
from bilberryhaven import errors
from bilberryhaven.tables import catalog
from bilberryhaven.wire import message as wire_message
from bilberryhaven.workflow import dispatcher
from bilberryhaven.workflow import fleet
from bilberryhaven.workflow import message
from bilberryhaven.workflow import options
from bilberryhaven.workflow import server_client
from bilberryhaven.workflow import start_permit
from bilberryhaven.workflow import supervision
from tests.fuzz import workflow_server
from tests import workflow_fakes as fakes
from tests import workflow_replica

TICK_S = 0.1
CAPACITY = 3
# Tasks that take far longer, where tasks may be copied.
LONG_SHARE = 0.1
LONG_FACTOR = 7
HOST = 'h'
ZONES = ('north', 'south')
START_VALIDITY = clocks.seconds(1)
RunPhase = supervision.RunPhase
StartResult = server_client.StartResult


@dataclasses.dataclass
class PendingOrder:
    """An order that the agent has yet to complete.

    Attributes:
        order: The ``Order``.
        tries: Number of starts that were unanswered or too late.
        unanswered: Whether a start got no answer.
        given_up: Whether the run must be stopped before it is reported.
    """

    order: message.Order
    tries: int = 0
    unanswered: bool = False
    given_up: bool = False


class AgentModel:
    """Model of an agent that uses the real ``RunSupervisor``."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.zone = ZONES[len(world.agents) % len(ZONES)]
        self.server = None
        self.partitioned_until = 0.0
        self.stalled_until = 0.0
        self.restart()

    def restart(self):
        self.supervisor = supervision.RunSupervisor(agent=self.name)
        self.permit = start_permit.StartPermit(
            validity=self.world.start_validity
        )
        self.pending_orders = []

    def boot_server(self):
        world = self.world
        world.boots += 1
        self.server = workflow_server.ServerModel(
            key=f's-{self.name}',
            born_ms=world.boots,
            oracle=world.oracle,
            capacity=CAPACITY,
            born_at=world.now,
            lists_progress=world.copies,
        )

    def step(self):
        world = self.world
        if self.server is None:
            return
        self.server.advance(world.now)
        self._announce()
        self._hold()
        if world.now >= self.partitioned_until:
            self._poll()
        if world.now >= self.stalled_until:
            self._execute_orders()

    def _announce(self):
        announcement = server_client.Announcement(
            state=message.ServerState(
                id=self.server.key,
                born_ms=self.server.born_ms,
                pool=fakes.POOL,
                zone=self.zone,
                cpu=CAPACITY * 1000,
                memory_mb=256_000,
            ),
            address='127.0.0.1:1',
            sequence=int(self.world.now * 1000),
        )
        if not self.supervisor.handle_announcement(announcement):
            # A later incarnation, the only one that answers.
            self.supervisor.follow(announcement)

    def _poll(self):
        now = self.world.clock.monotonic()
        try:
            reply = self.world.send_request(self.supervisor.build_poll())
        except errors.FencedError:
            self.supervisor.reset_session()
            self.pending_orders = []
            return
        except errors.BilberryhavenError:
            return
        if self.world.drops_message():
            return
        self.permit.update(reply, now)
        for order in self.supervisor.handle_poll_reply(reply, now, now):
            self.pending_orders.append(PendingOrder(order))

    def _hold(self):
        supervisor = self.supervisor
        now = self.world.clock.monotonic()
        listing = self.server.hold(
            supervisor.grant_deadline(now),
            supervisor.epoch,
            supervisor.acked,
            self.world.now,
        )
        if listing is None or self.world.drops_message():
            return
        report = supervisor.handle_listing(listing, supervisor.epoch, now, now)
        if not supervisor.epoch or self.world.now < self.partitioned_until:
            return
        counted = [end for end in report.ends if self.world.is_live(end.run)]
        try:
            reply = self.world.send_request(report)
        except errors.BilberryhavenError:
            return
        for end in counted:
            self.server.check_end_valid(end)
        if not self.world.drops_message():
            supervisor.handle_report_reply(report, reply)

    def _execute_orders(self):
        pending_orders, self.pending_orders = self.pending_orders, []
        for pending in pending_orders:
            if (
                pending.order.kind == message.OrderKind.STOP
                or pending.given_up
            ):
                self._stop(pending)
            else:
                self._start(pending)

    def _start(self, pending):
        order = pending.order
        supervisor = self.supervisor
        now = self.world.clock.monotonic()
        if supervisor.listed_epoch != supervisor.epoch:
            self.pending_orders.append(pending)
            return
        if supervisor.is_listed(order.run):
            supervisor.set_phase(order.run, RunPhase.STARTED, now)
            return
        deadline = supervisor.grant_deadline(now)
        if (
            deadline is None
            or not supervisor.may_start(order.run)
            or self.permit.find_refusal(now)
            or pending.tries > 2
        ):
            self._stop(pending)
            return
        self.world.check_zone(self.zone)
        call = (order.run, deadline, supervisor.epoch)
        if self.world.drops_message():
            # There is no answer, and the call may be executed later.
            self.world.delay_call(self.server, call)
            pending.tries += 1
            pending.unanswered = True
            self.pending_orders.append(pending)
            return
        result = StartResult.BUSY
        if not self.world.is_busy():
            result = self.world.start(self.server, call)
        if result == StartResult.LATE:
            pending.tries += 1
            self.pending_orders.append(pending)
        elif result == StartResult.STARTED:
            supervisor.set_phase(order.run, RunPhase.STARTED, now)
        elif self.is_unknown(pending):
            self._stop(pending)
        else:
            supervisor.set_phase(order.run, RunPhase.DOUBTFUL, now)

    def is_unknown(self, pending):
        """Return whether a start that was refused may still be executed."""
        return pending.unanswered

    def _stop(self, pending):
        if self.world.drops_message() or self.world.is_busy():
            pending.given_up = True
            self.pending_orders.append(pending)
            return
        run = pending.order.run
        self.server.stop(run, self.supervisor.epoch, self.world.now)
        now = self.world.clock.monotonic()
        self.supervisor.set_phase(run, RunPhase.DOUBTFUL, now)


class World:
    """Simulation of a leader, agents and servers.

    Args:
        seed: Seed of the only random generator.
        agents: Number of agents, each with one server.
        busy: Share of the starts and stops that servers answer as busy
            until the faults end; they do nothing then.
        withdrawals: Probability of an order on a zone in each tick.
        build_agent: Function of the world and a name that returns an agent.
        copies: Whether tasks may be copied; some take far longer then.
        longest_s: Span of the run times above 0.2 s.
        ignored: Faults that the ``Oracle`` ignores.
    """

    def __init__(
        self,
        *,
        seed,
        agents=3,
        busy=0.0,
        withdrawals=0.0,
        build_agent=AgentModel,
        copies=False,
        longest_s=3.0,
        ignored=(),
    ):
        self.random = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.now = 0.0
        self.boots = 0
        self.loss = 0.0
        self.busy = busy
        self.withdrawals = withdrawals
        self.withdrawn_at = {}
        self.start_validity = START_VALIDITY if withdrawals else None
        self.copies = copies
        self.longest_s = longest_s
        self.delayed_calls = []
        self.submitted = []
        self.oracle = workflow_server.Oracle(
            max_runs=2 if copies else 1, ignored=ignored
        )
        self.machine = machine.TableStateMachine()
        self.replica = workflow_replica.FakeReplica(self.machine)
        self.options = options.Options(
            max_poll_wait=clocks.seconds(0.0), lease=clocks.seconds(2)
        )
        self.leader = dispatcher.Dispatcher(
            replica=self.replica,
            machine=self.machine,
            clock=self.clock,
            options=self.options,
            zones=ZONES,
        )
        self.leader._memory.fleet._is_fresh = lambda held, now: True
        self._replace_catalog()
        self.agents = []
        for number in range(agents):
            self.agents.append(build_agent(self, f'a{number}'))
        for agent in self.agents:
            agent.boot_server()

    def _replace_catalog(self):
        queue = catalog.Queue(
            name='q',
            host=HOST,
            prefix='/',
            pool=fakes.POOL,
            timeout_ms=1,
            max_attempts=3,
        )
        self.send_request(
            message.Replace(
                version=1,
                queues=[queue],
                pools=[catalog.Pool(name=fakes.POOL)],
                document=b'',
            )
        )

    def send_request(self, request):
        body = message.encode(request)
        reply = self.leader.handle(wire_message.WorkRequest(body=body))
        if isinstance(reply, concurrent.futures.Future):
            reply = reply.result()
        return message.decode_reply(reply.body)

    def is_live(self, ref):
        """Return whether the log holds ``ref`` as a run that has not ended."""
        row = self.machine.state.workflows.find(ref.workflow)
        runs = row.find_task(ref.task).runs if row else ()
        return any(run.number == ref.number for run in runs)

    def drops_message(self):
        return self.random.random() < self.loss

    def is_busy(self):
        # Without busy servers, nothing is drawn from the generator.
        return self.busy > 0 and self.random.random() < self.busy

    def start(self, server, call):
        ref, deadline, epoch = call
        if not server.up:
            return StartResult.OTHER_INCARNATION
        server.advance(self.now)
        seconds = 0.2 + self.longest_s * self.random.random()
        if self.copies and self.random.random() < LONG_SHARE:
            seconds *= LONG_FACTOR
        return server.start(ref, deadline, epoch, self.now, seconds)

    def delay_call(self, server, call):
        if self.random.random() < 0.5:
            at = self.now + self.random.uniform(0.1, 6)
            self.delayed_calls.append((at, server, call))

    def submit(self):
        name = f'w{len(self.submitted)}'
        fields = {'speculative': True} if self.copies else {}
        tasks = self.random.randint(1, 3)
        steps = [fakes.build_step(tasks=tasks, **fields)]
        if self.random.random() < 0.5:
            steps.append(fakes.build_step(after=[0], **fields))
        request = message.Submit(
            host=HOST, path=f'/{name}', spec='', steps=steps
        )
        self.send_request(request)
        self.submitted.append(name)

    def inject_fault(self):
        agent = self.random.choice(self.agents)
        choice = self.random.randrange(6)
        if choice == 0:
            agent.restart()
        elif choice == 1:
            agent.server.crash()
            agent.boot_server()
        elif choice == 2:
            agent.partitioned_until = self.now + self.random.uniform(0.5, 5)
        elif choice == 3:
            self.replica.term += 1
        elif choice == 4 and self.submitted:
            name = self.random.choice(self.submitted)
            self.send_request(message.Cancel(host=HOST, path=f'/{name}'))
        else:
            self.loss = self.random.choice((0.0, 0.1, 0.4))

    def order_zone(self, zone):
        """Withdraw a zone, or restore it if it is withdrawn."""
        if self.withdrawn_at.pop(zone, None) is None:
            self.send_request(message.Withdraw(zone=zone))
            self.withdrawn_at[zone] = self.clock.monotonic()
        else:
            self.send_request(message.Restore(zone=zone))

    def check_zone(self, zone):
        """Check that a start may still be sent in a zone."""
        now = self.clock.monotonic()
        late = now - self.withdrawn_at.get(zone, now)
        assert late <= START_VALIDITY, f'start in withdrawn zone after {late}'

    def tick(self):
        self.now += TICK_S
        self.clock.advance(clocks.seconds(TICK_S))
        due = [item for item in self.delayed_calls if item[0] <= self.now]
        self.delayed_calls = [
            item for item in self.delayed_calls if item[0] > self.now
        ]
        for _, server, call in due:
            self.start(server, call)
        self.leader.ensure_ready()
        self.leader._schedule()
        self.check_fleet_view()
        for agent in self.agents:
            agent.step()

    def check_fleet_view(self):
        """Check the cached servers against servers built from all state."""
        memory = self.leader._memory
        cached = memory.refresh_fleet(self.clock.wall().timestamp())
        view = fleet.FleetView(
            state=memory.state,
            index=memory.index,
            sessions=memory.sessions,
            health=memory.health,
            speeds=memory.monitor.speeds,
            options=self.options,
            effects=memory.interference,
        )
        view._is_fresh = lambda held, now: True
        built = view.list_servers(self.clock.monotonic())
        assert cached == built, f'cached: {cached}, built: {built}'

    def run(self, ticks):
        for _ in range(ticks):
            if self.random.random() < 0.1:
                self.submit()
            if self.random.random() < 0.05:
                self.inject_fault()
            # Without withdrawals, nothing is drawn from the generator.
            if self.withdrawals and self.random.random() < self.withdrawals:
                self.order_zone(self.random.choice(ZONES))
                # Orders wait behind one that its server doesn't answer.
                agent = self.random.choice(self.agents)
                agent.stalled_until = self.now + self.random.uniform(0.5, 5)
                if self.random.random() < 0.5:
                    agent.partitioned_until = agent.stalled_until + TICK_S
            self.tick()

    def settle(self, ticks=400):
        """End all faults and run until all workflows have ended."""
        self.loss = self.busy = 0.0
        for agent in self.agents:
            agent.partitioned_until = agent.stalled_until = 0.0
        for zone in list(self.withdrawn_at):
            self.order_zone(zone)
        for _ in range(ticks):
            if not self.list_active():
                break
            self.tick()
        assert not self.list_active(), (
            f'workflows have not ended: {self.list_active()}'
        )
        self.check_idle()

    def check_idle(self):
        """Check that the runs which were not needed have been stopped."""
        for _ in range(20):
            self.tick()
        working = [
            ref for agent in self.agents for ref in agent.server.running
        ]
        assert not working, f'still working: {working}'

    def list_active(self):
        return [
            name
            for name in self.submitted
            if self.machine.state.workflows.find(name).state == 'active'
        ]


def run_seed(seed, ticks=300, **fields):
    """Run one seed and raise AssertionError if an invariant is violated.

    Args:
        seed: Seed of the world.
        ticks: Number of ticks with faults.
        fields: Further arguments of the ``World``.
    """
    world = World(seed=seed, **fields)
    world.run(ticks)
    world.settle()
    return world
