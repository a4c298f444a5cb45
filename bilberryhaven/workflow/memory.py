"""What the leader remembers beside the replicated tables."""

from bilberryhaven.workflow import acceptance
from bilberryhaven.workflow import caller_shares
from bilberryhaven.workflow import fleet
from bilberryhaven.workflow import health
from bilberryhaven.workflow import initial_pace
from bilberryhaven.workflow import interference
from bilberryhaven.workflow import late_submissions
from bilberryhaven.workflow import room
from bilberryhaven.workflow import run_monitor
from bilberryhaven.workflow import session
from bilberryhaven.workflow import urgency
from bilberryhaven.workflow import workflow_index

__all__ = ['LeaderMemory']


class LeaderMemory:
    """Sessions, health, measurements and the views derived from them.

    The methods require that ``lock`` is held.

    Args:
        machine: The ``TableStateMachine`` that committed commands are
            applied to.
        lock: The lock of the state machine.
        clock: The ``Clock``.
        options: The workflow ``Options``.

    Attributes:
        state: The replicated tables.
        lock: The lock of the state machine.
        sessions: The ``SessionTable``.
        health: The ``HealthTable``.
        interference: The ``InterferenceModel``.
        monitor: The ``RunMonitor``.
        index: The ``WorkflowIndex``.
        fleet: The ``FleetView``.
        rooms: The ``RoomTracker``.
        shares: The ``CallerShares``.
        acceptance: The ``WorkflowAcceptance``.
        late_submissions: The ``LateSubmissions``.
    """

    def __init__(self, *, machine, lock, clock, options):
        self._clock = clock
        self.state = machine.state
        self.lock = lock
        self.sessions = session.SessionTable()
        self.health = health.HealthTable()
        self.interference = interference.InterferenceModel()
        self.monitor = run_monitor.RunMonitor()
        self.shares = caller_shares.CallerShares(clock=clock, options=options)
        ranker = urgency.ValueRanker(
            times=self.monitor.times, shares=self.shares
        )
        self.index = workflow_index.WorkflowIndex(machine.state, ranker=ranker)
        self.fleet = fleet.FleetView(
            state=machine.state,
            index=self.index,
            sessions=self.sessions,
            health=self.health,
            speeds=self.monitor.speeds,
            options=options,
            effects=self.interference,
        )
        self.rooms = room.RoomTracker(
            index=self.index, ranker=ranker, clock=clock, options=options
        )
        self.acceptance = acceptance.WorkflowAcceptance(
            state=machine.state,
            index=self.index,
            rooms=self.rooms,
            ranker=ranker,
            clock=clock,
            options=options,
        )
        self.late_submissions = late_submissions.LateSubmissions(
            state=machine.state, clock=clock, options=options
        )

    def begin_term(self):
        """Forget what was measured and decided in an earlier term."""
        self.late_submissions.begin_term()
        self.health.clear()
        self.rooms.begin_term()
        self.shares.begin_term()
        self.acceptance.begin_term()

    def order_runs(self, agent_session):
        """Order what the log assigns to the server of a session.

        Args:
            agent_session: The ``Session``.
        """
        views = self.index.runs.get(agent_session.key, {})
        row = self.state.backends.find(agent_session.key)
        if row is None:
            return
        row = agent_session.capacity.apply_to(row)

        paces = initial_pace.InitialPaces(
            effects=self.interference,
            row=row,
            views=views,
            present=agent_session.present,
        )
        agent_session.reconcile_runs(views, paces.find_percent)

    def refresh_fleet(self, now):
        """Order changed runs and return the ``Server`` rows.

        Args:
            now: Unix time in seconds.
        """
        self.index.refresh(now)
        for key in self.index.take_changed():
            self.fleet.invalidate(key)
            agent_session = self.sessions.find(key)
            if agent_session is not None:
                self.order_runs(agent_session)
        servers = self.fleet.list_servers(self._clock.monotonic())
        self.rooms.observe(servers)
        self.shares.observe(servers)
        return servers
