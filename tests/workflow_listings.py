"""Listings of runs on servers of uneven speed, for tests."""

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven.tables import workflow
from bilberryhaven.workflow import message
from bilberryhaven.workflow import run_monitor
from bilberryhaven.workflow import session
from bilberryhaven.workflow import workflow_index
from tests import workflow_fakes as fakes

INTERVAL_S = 0.5


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
