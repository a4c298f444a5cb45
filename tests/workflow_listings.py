"""Listings of runs on servers of uneven speed, for tests."""

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.tables import workflow
from bilberryhaven.workflow import message
from bilberryhaven.workflow import run_monitor
from bilberryhaven.workflow import session
from bilberryhaven.workflow import workflow_index
from tests import test_workflow_dispatcher
from tests import workflow_fakes as fakes

INTERVAL_S = 0.5
AGENTS = 'abcd'


class Listings:
    """A monitor that is fed with listings.

    Attributes:
        now: Monotonic time in seconds.
        monitor: The ``RunMonitor``.
        views: ``RunView`` by run, by key of the server.
        speeds: Speed by key of the server; 1 if missing.
        stalled: Runs that were found to stand still.
    """

    def __init__(self):
        self.now = 100.0
        self.monitor = run_monitor.RunMonitor()
        self.views = {}
        self.speeds = {}
        self.stalled = []
        self._totals = {}
        self._done = {}

    @property
    def clock(self):
        return clocks.seconds(self.now)

    def add(self, name, server, seconds, *, index=0, number=1, **fields):
        """Run a task that takes ``seconds`` at the normal speed."""
        step = fakes.build_step(tasks=99, **fields)
        ref = workflow_commands.RunRef(name, f'0.0.{index}', number)
        self.views.setdefault(server, {})[ref] = workflow_index.RunView(
            ref=ref,
            row=fakes.build_workflow(
                name,
                step,
                tasks={
                    ref.task: workflow.Task(
                        last_run=number,
                        runs=[workflow.Run(number=number, backend=server)],
                    )
                },
            ),
            step=step,
            group=(name, 0, 0),
            backend=server,
            stopping=False,
            checkpoint='',
            ordered_at=self.now,
        )
        self._totals[server, ref] = seconds
        self._done[server, ref] = 0.0
        return ref

    def add_step(self, name, servers, seconds, **fields):
        """Run one task of a step on each server."""
        return [
            self.add(name, server, seconds, index=index, **fields)
            for index, server in enumerate(servers)
        ]

    def run(self, seconds, *, skip=()):
        """Let the runs work, and list them at intervals."""
        for _ in range(round(seconds / INTERVAL_S)):
            self.list(skip=skip)
            self.now += INTERVAL_S
            for (server, ref), total in self._totals.items():
                speed = self.speeds.get(server, 1.0)
                done = self._done[server, ref] + INTERVAL_S * speed / total
                self._done[server, ref] = done
        self.list(skip=skip)

    def list(self, *, skip=()):
        for server, views in list(self.views.items()):
            if server in skip:
                continue
            ended = [ref for ref in views if self._done[server, ref] >= 0.999]
            ends = [workflow_commands.RunEnd(1, ref, 'done') for ref in ended]
            self.monitor.record_ends(views, ends, self.clock, self.now)
            for ref in ended:
                del views[ref], self._totals[server, ref]
            present = {
                ref: session.Presence(
                    running=message.Running(
                        ref, percent=int(100 * self._done[server, ref])
                    ),
                    first_at=self.clock,
                    progressed_at=self.clock,
                )
                for ref in views
            }
            self.stalled += self.monitor.observe(
                server, views, present, self.clock
            )

    def take_slow(self, *keys, **fields):
        """Return the slow runs that could move to idle servers ``keys``."""
        servers = [fakes.build_server(key, **fields) for key in keys]
        found = self.monitor.take_slow(self.views, lambda: servers)
        return [view.ref for view in found]


class DispatchedRunsTest(test_workflow_dispatcher.DispatcherTest):
    """Base of tests in which agents list the progress of the leader's runs.

    Attributes:
        polls: First ``PollReply`` by agent.
        percent: Progress by run.
    """

    def setUp(self):
        super().setUp()
        self.replace()
        self.polls = {agent: self.poll(agent) for agent in AGENTS}
        self.percent = {}
        self._ends = 0

    def find_rate(self, ref, agent):
        """Return the progress of a run in percent per second."""
        raise NotImplementedError

    def list_runs(self):
        """Return the agent of each run, in the order of the tasks."""
        agents = {first.key: agent for agent, first in self.polls.items()}
        return {
            workflow_commands.RunRef(row.id, key, run.number): agents[
                run.backend
            ]
            for row in self.state.workflows
            for key, run in row.list_runs()
            if run.backend in agents
        }

    def renew(self, agent):
        return self.poll(agent, epoch=self.polls[agent].epoch)

    def send(self, agent, ends=(), how='done'):
        """Report the runs on a server, of which some have ended."""
        first = self.polls[agent]
        running = [
            message.Running(ref, percent=self.percent.get(ref, 0))
            for ref, other in self.list_runs().items()
            if other == agent and ref not in ends
        ]
        rows = []
        for ref in ends:
            self._ends += 1
            rows.append(workflow_commands.RunEnd(self._ends, ref, how))
        return self.ask(
            message.Report(
                agent=agent,
                key=first.key,
                epoch=first.epoch,
                ends=rows,
                upto=self._ends,
                running=running,
                listed=True,
            )
        )

    def play(self, seconds, *, skip=''):
        """Let the runs work, and list them at intervals."""
        for _ in range(int(seconds / INTERVAL_S)):
            self.advance(INTERVAL_S)
            for ref, agent in self.list_runs().items():
                gained = INTERVAL_S * self.find_rate(ref, agent)
                percent = self.percent.get(ref, 0) + gained
                self.percent[ref] = min(percent, 99)
            for agent in self.polls:
                if agent not in skip:
                    self.renew(agent)
                    self.send(agent)
            self.schedule()
