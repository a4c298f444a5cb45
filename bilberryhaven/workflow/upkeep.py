"""Upkeep of the runs before each scheduling round."""

from bilberryhaven import clock as clocks
from bilberryhaven.commands import workflow as workflow_commands
from bilberryhaven import log
from bilberryhaven.tables import workflow
from bilberryhaven.workflow import checkpoints
from bilberryhaven.workflow import evacuation
from bilberryhaven.workflow import relocation
from bilberryhaven.workflow import stops

__all__ = ['RunUpkeep']

EXPIRY_INTERVAL = clocks.seconds(10)

_logger = log.get_logger('workflow')


class RunUpkeep:
    """Expires workflows, saves checkpoints and moves runs.

    Args:
        leader: The ``Dispatcher``.
        memory: The ``LeaderMemory``.
        watch: The ``RunWatch``.
        clock: The ``Clock``.
        options: The workflow ``Options``.
    """

    def __init__(self, *, leader, memory, watch, clock, options):
        self._leader = leader
        self._memory = memory
        self._watch = watch
        self._clock = clock
        self._options = options
        self._checkpoints = checkpoints.CheckpointCollector(clock=clock)
        self._expired_at = clock.monotonic()
        # When each end was first seen here, by (id, time of the end). The
        # time of the end is another instance's wall clock, which may differ.
        self._ends_seen = {}
        # The same of the stored cancels of workflows that aren't stored.
        self._cancels_seen = {}

    def begin_term(self):
        """Forget which checkpoints were saved."""
        self._checkpoints.clear()

    def run(self):
        """Expire workflows, save checkpoints and move runs."""
        self._expire()
        self._save_checkpoints()
        self._evacuate()
        self._relocate()
        self._watch.restart_slow()

    def _expire(self):
        now = self._clock.monotonic()
        if now - self._expired_at < EXPIRY_INTERVAL:
            return
        self._expired_at = now
        self._log_effects()
        with self._memory.lock:
            ends = [
                (row.id, row.ended_at)
                for row in self._memory.state.workflows
                if row.state != workflow.WorkflowState.ACTIVE
            ]
            cancels = [
                (row.id, row.at) for row in self._memory.state.cancellations
            ]
        self._ends_seen = self._note_seen(self._ends_seen, ends, now)
        self._cancels_seen = self._note_seen(self._cancels_seen, cancels, now)
        ended = [key for key, _ in self._list_due(self._ends_seen, now)]
        cancelled = self._list_due(self._cancels_seen, now)
        if ended or cancelled:
            self._leader.propose(
                workflow_commands.ExpireWorkflows(
                    ids=ended, cancellations=cancelled
                )
            )
            self._log_removed(ended)

    @staticmethod
    def _note_seen(seen, pairs, now):
        return {pair: seen.get(pair, now) for pair in pairs}

    def _list_due(self, seen, now):
        return [
            pair
            for pair, seen_at in seen.items()
            if now - seen_at >= self._options.ended_retention
        ]

    def _log_removed(self, ended):
        with self._memory.lock:
            workflows = self._memory.state.workflows
            removed = [item for item in ended if item not in workflows]
        if removed:
            log.log_decision(
                _logger,
                'remove workflows',
                reason='their retention has passed',
                retention_s=self._options.ended_retention.total_seconds(),
                workflows=removed,
            )

    def _log_effects(self):
        effects = self._memory.interference.list_effects()
        if effects:
            _logger.info(
                'effects of best-effort images on tails',
                extra={
                    'headroom_by_tenth_of_a_server': [
                        (serving, image, round(effect, 2))
                        for serving, image, effect in effects
                    ]
                },
            )

    def _save_checkpoints(self):
        rows = self._checkpoints.collect(self._memory.sessions)
        if rows:
            self._leader.propose(
                workflow_commands.SaveCheckpoints(checkpoints=rows)
            )

    def _evacuate(self):
        """Stop runs on servers that leave before the runs end."""
        now = self._clock.monotonic()
        evacuated = []
        with self._memory.lock:
            for agent_session in self._memory.sessions:
                if agent_session.draining:
                    views = self._memory.index.runs.get(agent_session.key, {})
                    evacuated += [
                        (ref, _describe_departure(agent_session, now))
                        for ref in evacuation.list_evacuations(
                            agent_session,
                            views,
                            self._memory.monitor.times,
                            now,
                        )
                    ]
        stops.stop_runs(
            self._leader,
            evacuated,
            'evacuate run',
            reason='its backend server leaves before it ends',
        )

    def _relocate(self):
        """Stop throttled best-effort runs to restart them elsewhere."""
        relocations = []
        with self._memory.lock:
            paused = [
                agent_session
                for agent_session in self._memory.sessions
                if agent_session.paused
            ]
            if not paused:
                return
            now = self._clock.wall().timestamp()
            servers = {row.key: row for row in self._memory.refresh_fleet(now)}
            for agent_session in paused:
                if agent_session.key in servers:
                    relocations += relocation.list_relocations(
                        self._memory.index.runs.get(agent_session.key, {}),
                        agent_session.paused,
                        agent_session.present,
                        servers[agent_session.key],
                        list(servers.values()),
                        self._memory.interference,
                    )
                agent_session.paused = []
        stops.stop_runs(
            self._leader,
            [(ref, {}) for ref in relocations],
            'relocate run',
            reason='throttled for long; another server has capacity',
        )


def _describe_departure(agent_session, now):
    """Return log fields of a server that leaves."""
    remaining = agent_session.leaves_at - now
    return {
        'backend': agent_session.key,
        'leaves_in_s': round(remaining.total_seconds(), 3),
    }
