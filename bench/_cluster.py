"""Stand-ins for agents, network and callers around real request cores.

Everything runs in virtual time on one event queue.
"""

import collections
import datetime
import heapq
import random

from bilberryhaven import clock
from bilberryhaven.entry import effect
from bilberryhaven.entry import request
from bilberryhaven.entry import view
from bilberryhaven import errors
from bilberryhaven import policies
from bilberryhaven import util
from bilberryhaven.wire import message

ZONES = ('pingtung', 'tainan', 'kaohsiung')
INSTANCES = 11
SLOTS = 8
QUEUE = 16
SERVICE_MS = 100.0
SERVICE_SIGMA = 0.5
LOCAL_MS = 0.5
ZONE_MS = 3.0
JITTER_MS = 0.5
REPORT_MS = 1000.0
CONNECT_MS = 500.0
DEADLINE_MS = 1000
CAPACITY = INSTANCES * SLOTS * 1000 / SERVICE_MS
MS = datetime.timedelta(milliseconds=1)


class EventClock(clock.Clock):
    """Clock that shows the time of the event in progress."""

    def __init__(self):
        self.now_ms = 0.0

    def monotonic(self):
        """Return the virtual time."""
        return self.now_ms * MS

    def wall(self):
        """Return a wall time; unused."""
        return datetime.datetime.fromtimestamp(0, datetime.timezone.utc)


class Agent:
    """An agent with slots, a bounded queue and a service time.

    Args:
        cluster: The ``Cluster``.
        name: Instance name.
        zone: Its availability zone.
    """

    def __init__(self, *, cluster, name, zone):
        self._cluster = cluster
        self.name = name
        self.zone = zone
        self.used = 0
        self.queue = collections.deque()
        self.slow = 1.0
        self.failing = False
        self.lost = False
        self.report = (0.0, message.Load(slots=SLOTS))
        self.mean_ms = SERVICE_MS

    def build_load(self):
        """Return the ``Load`` of this moment."""
        return message.Load(
            slots=SLOTS,
            slots_used=self.used,
            queued=len(self.queue),
            service_ms=self.mean_ms,
        )

    def admit(self, dispatch, reply):
        """Take in a dispatch; ``reply`` is called with the reply."""
        if self.lost:
            return
        msg = dispatch.message
        if self.failing:
            self._cluster.call_later(1.0, self._answer, msg, reply, 'internal')
            return
        wait = self.mean_ms * (len(self.queue) + 1) / SLOTS
        if self.used < SLOTS:
            self._start(msg, reply)
        elif len(self.queue) >= QUEUE or wait > msg.deadline_ms:
            self._answer(msg, reply, 'overload')
        else:
            end = self._cluster.clock.now_ms + msg.deadline_ms
            self.queue.append((end, msg, reply))

    def revoke(self, request_id):
        """Return the state of a revoked request."""
        for item in self.queue:
            if item[1].request_id == request_id:
                self.queue.remove(item)
                return 'not_run'
        return 'started'

    def _start(self, msg, reply):
        self.used += 1
        spread = self._cluster.random.lognormvariate(0, SERVICE_SIGMA)
        took = SERVICE_MS * self.slow * spread / 1.1331
        self._cluster.call_later(took, self._finish, msg, reply, took)

    def _finish(self, msg, reply, took):
        self.used -= 1
        self.mean_ms += 0.1 * (took - self.mean_ms)
        while self.queue and self.used < SLOTS:
            end, waiting, answer = self.queue.popleft()
            if end <= self._cluster.clock.now_ms:
                self._answer(waiting, answer, 'deadline')
            else:
                self._start(waiting, answer)
        self._answer(msg, reply, '')

    def _answer(self, msg, reply, code):
        if self.lost:
            return
        body = b'' if code else msg.body
        outcome = 'not_run' if code in ('overload', 'deadline') else 'ran'
        reply(
            message.AdmitReply(
                request_id=msg.request_id,
                code=code,
                outcome=outcome if code else '',
                body=body,
                length=len(body),
                digest=util.compute_digest(body),
                load=self.build_load(),
            )
        )


class Entry:
    """A request core with its view.

    Args:
        cluster: The ``Cluster``.
        zone: Its availability zone.
        policy: Name of its routing policy.
        seed: Seed of its random numbers.
    """

    def __init__(self, *, cluster, zone, policy, seed):
        self._cluster = cluster
        self.zone = zone
        self.lost = False
        source = random.Random(seed)
        self.view = view.View(zone=zone, delays=dict.fromkeys(ZONES, ZONE_MS))
        self.core = request.RequestCore(
            name=f'entry-{zone}-{seed}',
            view=self.view,
            policy=policies.get_policy_by_name(policy)(random=source),
            clock=cluster.clock,
            random=source,
        )

    def carry_out(self, effects):
        """Carry out the core's effects."""
        for item in effects:
            if isinstance(item, effect.Respond):
                self._cluster.respond(item.caller, item.response)
            elif isinstance(item, effect.Dispatch):
                self._cluster.dispatch(self, item)
            elif isinstance(item, effect.Revoke):
                self._cluster.revoke(self, item)


class Cluster:
    """Three zones with an entry each, and their instances.

    Args:
        policy: Name of the routing policy.
        seed: Seed of all random numbers.
        report_delay_ms: Age that reports have when they arrive.
    """

    def __init__(self, *, policy, seed, report_delay_ms=0.0):
        self.clock = EventClock()
        self.random = random.Random(seed)
        self._seed = seed
        self._policy = policy
        self._report_delay_ms = report_delay_ms
        self._events = []
        self._count = 0
        self._idle = collections.Counter()
        self.agents = {}
        for number in range(INSTANCES):
            name = f'pond-{number}'
            zone = ZONES[number % len(ZONES)]
            self.agents[name] = Agent(cluster=self, name=name, zone=zone)
        self.callers = {}
        self.dispatches = []
        self.entries = []
        self.start_entries()
        for name in self.agents:
            self.call_later(
                self.random.uniform(0, REPORT_MS), self._heartbeat, name
            )

    def start_entries(self):
        """Replace all entries; the former ones finish what they hold."""
        self._seed += 1000
        self.entries = [
            Entry(
                cluster=self, zone=zone, policy=self._policy, seed=self._seed
            )
            for zone in ZONES
        ]
        for entry in self.entries:
            self._sync(entry)

    def call_later(self, delay_ms, func, *args):
        """Call ``func`` after ``delay_ms`` of virtual time."""
        self._count += 1
        at = self.clock.now_ms + delay_ms
        heapq.heappush(self._events, (at, self._count, func, args))

    def run(self, until_ms):
        """Run all events up to ``until_ms``."""
        while self._events and self._events[0][0] <= until_ms:
            at, _, func, args = heapq.heappop(self._events)
            self.clock.now_ms = at
            func(*args)

    def generate(self, rate, until_ms):
        """Submit requests at ``rate`` a second, spread over the entries."""
        number = len(self.callers)
        entry = self.random.choice([e for e in self.entries if not e.lost])
        item = effect.Request(
            id=f'r{number}',
            workload='price',
            body=b'1',
            timeout=DEADLINE_MS * MS,
            idempotent=number % 2 == 0,
        )
        caller = {'at': self.clock.now_ms, 'sent': [], 'entry': entry}
        self.callers[number] = caller
        entry.carry_out(entry.core.submit(number, item))
        delay = self.random.expovariate(rate / 1000)
        if self.clock.now_ms + delay < until_ms:
            self.call_later(delay, self.generate, rate, until_ms)

    def respond(self, number, answer):
        """Record a caller's answer."""
        caller = self.callers[number]
        caller['took'] = self.clock.now_ms - caller['at']
        caller['ok'] = answer.error is None

    def dispatch(self, entry, item):
        """Carry a dispatch to its agent, and the reply back."""
        agent = self.agents[item.target.name]
        number = int(item.request_id[1:])
        self.callers[number]['sent'].append(agent.name)
        self.dispatches.append((self.clock.now_ms, agent.name))
        key = (id(entry), agent.name)
        self._idle[key] = max(self._idle[key], item.target.in_flight)
        limit = item.timeout / MS
        if agent.lost and self._idle[key] <= 0:
            delay = min(CONNECT_MS, limit)
            self.call_later(delay, self._fail, entry, item, 'not_run')
            return
        self._idle[key] -= agent.lost
        self.call_later(limit, self._fail, entry, item, 'unknown')
        back = self._draw_delay(entry, agent)

        def reply(answer):
            self.call_later(back, self._reply, entry, item, answer)

        self.call_later(
            self._draw_delay(entry, agent), agent.admit, item, reply
        )

    def revoke(self, entry, item):
        """Carry a revocation to its agent, and the state back."""
        agent = self.agents[item.dispatch.target.name]
        delay = self._draw_delay(entry, agent)
        if agent.lost:
            limit = item.timeout / MS
            self.call_later(limit, self._revoked, entry, item, '')
        else:
            self.call_later(delay, self._revoke, entry, item, agent, delay)

    def lose_zone(self, zone):
        """Cut a zone off: its instances and its entry."""
        for agent in self.agents.values():
            agent.lost = agent.lost or agent.zone == zone
        for entry in self.entries:
            entry.lost = entry.lost or entry.zone == zone
        for caller in self.callers.values():
            caller['cut'] = caller['entry'].lost and 'took' not in caller

    def restore_zone(self, zone):
        """Bring a zone back, with empty slots."""
        for agent in self.agents.values():
            if agent.zone == zone:
                agent.lost = False
                agent.used = 0
                agent.queue.clear()
        for entry in self.entries:
            entry.lost = entry.lost and entry.zone != zone

    def _revoke(self, entry, item, agent, delay):
        state = agent.revoke(item.request_id)
        self.call_later(delay, self._revoked, entry, item, state)

    def _revoked(self, entry, item, state):
        if item.awaited and not entry.lost:
            entry.carry_out(entry.core.handle_revoked(item, state))

    def _reply(self, entry, item, answer):
        if not entry.lost:
            entry.carry_out(entry.core.handle_reply(item, answer))

    def _fail(self, entry, item, outcome):
        if entry.lost or item.settled:
            return
        error = errors.PeerError('no answer', step='dispatch', outcome=outcome)
        entry.carry_out(entry.core.handle_dispatch_error(item, error))

    def _draw_delay(self, entry, agent):
        base = LOCAL_MS if entry.zone == agent.zone else ZONE_MS
        return base + self.random.expovariate(1 / JITTER_MS)

    def _heartbeat(self, name):
        agent = self.agents[name]
        if not agent.lost:
            agent.report = (self.clock.now_ms, agent.build_load())
        self.call_later(REPORT_MS, self._heartbeat, name)

    def _sync(self, entry):
        if entry not in self.entries:
            return
        now = self.clock.now_ms
        self.call_later(REPORT_MS, self._sync, entry)
        if entry.lost:
            return
        rows = [self._view_agent(agent, now) for agent in self.agents.values()]
        reply = message.SyncReply(
            revision=1,
            lease_ms=4000,
            feed='f',
            cursor=1,
            workloads=[message.WorkloadView(name='price', kind='service')],
            instances=rows,
        )
        # A report arrives later by its delay, as one of that age.
        self.call_later(self._report_delay_ms, self._apply, entry, reply, now)

    def _apply(self, entry, reply, sent_ms):
        for row in reply.instances:
            row.load_age_ms += int(self.clock.now_ms - sent_ms)
        now = self.clock.monotonic()
        entry.view.apply(reply, sent_at=now, now=now)

    def _view_agent(self, agent, now):
        at, load = agent.report
        age = now - at
        return message.InstanceView(
            name=agent.name,
            zone=agent.zone,
            address=f'{agent.name}:1',
            capacity=message.Capacity(slots=SLOTS),
            connected=age < 4 * REPORT_MS + 500,
            load=load,
            load_age_ms=int(age),
        )
