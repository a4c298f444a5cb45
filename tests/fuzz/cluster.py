"""Replicas on virtual clocks, with faulty disks and a faulty network."""

import datetime
import heapq
import random

from bilberryhaven import clock
from bilberryhaven import commands
from bilberryhaven.consensus import driver
from bilberryhaven.consensus import machine
from bilberryhaven.consensus import memory
from bilberryhaven.consensus import message
from bilberryhaven.consensus import options
from bilberryhaven.consensus import storage
from bilberryhaven import errors
from bilberryhaven import tables

STEP = clock.seconds(0.025)
DELAY_STEPS = 0.4
OPTIONS = options.Options(
    snapshot_entries=40,
    kept_entries=10,
    max_kept_entries=200,
    segment_bytes=4096,
    append_bytes=1024,
    chunk_bytes=4096,
    append_window=2,
)


class TableMachine(machine.StateMachine):
    """The real tables; compares what each replica applies where."""

    def __init__(self, *, applied):
        self.state = tables.State()
        self._applied = applied

    def apply(self, index, data):
        known = self._applied.setdefault(index, data)
        assert known == data, f'entry {index} differs between replicas'
        return commands.apply(self.state, commands.decode(data))

    def dump(self):
        return self.state.dump()

    def load(self, data):
        self.state.load(data)


class Node:
    """One replica's disk, clock and, while it is up, its driver."""

    def __init__(self, *, name, voters, rate=1.0):
        self.name = name
        self.voters = voters
        self.rate = rate
        self.folder = memory.MemoryFolder()
        self.driver = None
        self.machine = None
        self.paused = False

    @property
    def up(self):
        return self.driver is not None

    @property
    def leads(self):
        return self.up and self.driver.core.is_leader


class Cluster:
    def __init__(
        self, *, names='abc', seed=0, rates=(1.0,), options=OPTIONS, step=STEP
    ):
        self.options = options
        self.step = step
        self.random = random.Random(seed)
        self.now = clock.seconds(100)
        self.loss = 0.0
        self.repeat = 0.0
        self.jitter = datetime.timedelta()
        self.blocked = set()
        self.delays = {}
        self.applied = {}
        self.voters = {name: f'{name}:1' for name in names}
        self.nodes = {}
        self._queue = []
        self._count = 0
        for position, name in enumerate(names):
            rate = rates[position % len(rates)]
            self.add_node(name, voters=self.voters, rate=rate)

    def add_node(self, name, *, voters=None, rate=1.0):
        node = Node(name=name, voters=dict(voters or {}), rate=rate)
        self.nodes[name] = node
        self.start(name)
        return node

    def local(self, node):
        return self.now * node.rate

    def start(self, name):
        node = self.nodes[name]
        node.machine = TableMachine(applied=self.applied)
        started = driver.Driver(
            name=name,
            storage=storage.Storage(folder=node.folder, options=self.options),
            machine=node.machine,
            options=self.options,
            random=self.random,
            send=lambda to, data: self._send(name, to, data),
        )
        node.paused = False
        node.driver = started
        self._run(node, started.start, node.voters, self.local(node))

    def crash(self, name):
        node = self.nodes[name]
        node.driver = None
        node.paused = False
        node.folder.crash(self.random)

    def wipe(self, name):
        """Lose a disk, and start with an empty one under the same name."""
        self.crash(name)
        self.nodes[name].folder = memory.MemoryFolder()
        self.start(name)

    def _run(self, node, function, *args):
        try:
            function(*args)
        except memory.PowerLossError:
            self.crash(node.name)

    def _send(self, sender, to, data):
        if self.random.random() < self.loss:
            return
        copies = 2 if self.random.random() < self.repeat else 1
        for _ in range(copies):
            delay = (
                self.step * DELAY_STEPS + self.jitter * self.random.random()
            )
            for name in (sender, to):
                delay += self.delays.get(name, datetime.timedelta())
            self._count += 1
            item = (self.now + delay, self._count, sender, to, data)
            heapq.heappush(self._queue, item)

    def flush(self, node):
        if node.up:
            self._run(node, node.driver.flush, self.local(node))

    def _deliver(self):
        while self._queue and self._queue[0][0] <= self.now:
            _, _, sender, to, data = heapq.heappop(self._queue)
            node = self.nodes.get(to)
            if (sender, to) in self.blocked or node is None or not node.up:
                continue
            if node.paused:
                item = (self.now + self.step, self._count, sender, to, data)
                self._count += 1
                heapq.heappush(self._queue, item)
                continue
            msg = message.decode(data)
            self._run(node, node.driver.step, msg, self.local(node))
            self.flush(node)

    def run(self, seconds, check=None):
        end = self.now + clock.seconds(seconds)
        while self.now < end:
            self.now += self.step
            self._deliver()
            for node in list(self.nodes.values()):
                if node.up and not node.paused:
                    self._run(node, node.driver.tick, self.local(node))
                    self.flush(node)
            if check is not None:
                check()

    def propose(self, node, command, done):
        items = [(commands.encode(command), done)]
        self._run(node, node.driver.propose, items, self.local(node))
        self.flush(node)

    def commit(self, command, seconds=3):
        """Propose at the leader and return the result."""
        results = []
        node = self.find_leader()
        self.propose(node, command, results.append)
        end = self.now + clock.seconds(seconds)
        while not results and self.now < end:
            self.run(0.05)
        return results[0] if results else None

    def change(self, node, function, **arguments):
        """Call a method of the driver's that takes time and ``done``."""
        results = []
        self._run(
            node,
            lambda: getattr(node.driver, function)(
                self.local(node), results.append, **arguments
            ),
        )
        self.flush(node)
        return results

    def transfer(self, node, to=None):
        try:
            node.driver.core.transfer_leadership(self.local(node), to)
        except errors.BilberryhavenError:
            return
        self.flush(node)

    def can_read(self, node):
        """Return whether the node would serve a linearizable read now."""
        if not node.leads or node.paused:
            return False
        core = node.driver.core
        if node.driver.applied < core.noop_index:
            return False
        now = self.local(node)
        return now < core.find_lease_end(now)

    def find_leader(self, seconds=20):
        """Run until a node can serve reads and return it."""
        for _ in range(int(seconds / 0.1)):
            for node in self.nodes.values():
                if self.can_read(node) and not node.driver.core.handover:
                    return node
            self.run(0.1)
        raise AssertionError('no leader was elected')

    def settle(self, node, seconds=30):
        """Run until all voters have applied what ``node`` has."""
        target = node.driver.applied
        voters = node.driver.core.members.voters
        for _ in range(int(seconds / 0.1)):
            if all(self.nodes[n].driver.applied >= target for n in voters):
                return
            self.run(0.1)
        raise AssertionError('not all voters caught up')

    def partition(self, names):
        """Cut ``names`` off from all others, both ways."""
        for one in self.nodes:
            for other in self.nodes:
                if (one in names) != (other in names):
                    self.blocked.add((one, other))

    def heal(self):
        self.blocked = set()
        self.loss = 0.0
        self.repeat = 0.0
        self.jitter = datetime.timedelta()
        for name, node in self.nodes.items():
            node.paused = False
            node.folder.fuse = None
            node.folder.fail_sync = False
            if node.up and node.driver.fault is not None:
                self.crash(name)
            if not node.up:
                self.start(name)
