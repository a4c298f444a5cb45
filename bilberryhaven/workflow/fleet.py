"""View of the backend servers for placement, kept up to date by changes."""

import datetime

from bilberryhaven import clock as clocks
from bilberryhaven.workflow import candidate
from bilberryhaven.workflow import probation

__all__ = ['FleetView']

MILLISECOND = clocks.seconds(0.001)
# CPU use of a run is a mean over half a second, so the figure of a younger run
# covers only part of that window.
MIN_SAMPLE_AGE = clocks.seconds(0.7)
FULL_PACE = 100


class FleetView:
    """Builds and caches the ``Server`` of each backend server.

    A server is built again only when its runs, its session or its row have
    changed, so that the work of a round doesn't grow with the fleet. Not
    thread-safe: callers must hold the state machine's lock.

    Args:
        state: The replicated tables.
        index: The ``WorkflowIndex``.
        sessions: The ``SessionTable``.
        health: The ``HealthTable``.
        options: The workflow ``Options``.
        effects: The ``InterferenceEffects``; None assumes no interference.
        speeds: The ``ServerSpeeds``; None assumes the normal speed.
    """

    def __init__(
        self,
        *,
        state,
        index,
        sessions,
        health,
        options,
        effects=None,
        speeds=None,
    ):
        self._state = state
        self._index = index
        self._sessions = sessions
        self._health = health
        self._speeds = speeds
        self._options = options
        self._effects = effects or candidate.InterferenceEffects()
        self._journal = state.backends.open_journal()
        self._entries = {}

    def invalidate(self, key):
        """Build a server again at the next call of ``list_servers``."""
        self._entries.pop(key, None)

    def list_servers(self, now):
        """Return the ``Server`` rows.

        Args:
            now: Monotonic time.
        """
        self._drop_changed()
        servers = []
        for row in self._state.backends:
            entry = self._entries.get(row.key)
            agent_session = self._sessions.find(row.key)
            if entry is None or entry.is_stale(agent_session, now):
                entry = self._build_entry(row, now)
                self._entries[row.key] = entry
            self._update_state(entry, now)
            servers.append(entry.server)
        return servers

    def _drop_changed(self):
        changed = self._journal.take()
        if changed is None:
            self._entries.clear()
            return
        for key in changed:
            self.invalidate(key)

    def _build_entry(self, row, now):
        agent_session = self._sessions.find(row.key)
        if agent_session is not None:
            row = agent_session.capacity.apply_to(row)
        server = candidate.Server(
            key=row.key,
            pool=row.pool,
            zone=row.zone,
            rack=row.rack,
            labels=frozenset(row.labels),
            cpu=row.cpu,
            memory_mb=row.memory_mb,
            gpu=row.gpu,
        )
        entry = _Entry(server=server, session=agent_session)
        views = self._index.runs.get(row.key, {})
        for view in views.values():
            server.claim(view.step, view.group)
        _add_fresh(entry, views, now)
        if agent_session is not None:
            _add_measurements(entry, views, now)
            self._add_unmeasured_runs(entry, views, now)
        server.is_modified = False
        return entry

    def _add_unmeasured_runs(self, entry, views, now):
        """Add best-effort runs whose effect no listing shows yet.

        They count with their predicted effect, if that is known. Otherwise
        no further one is started there until they have been measured.
        """
        server = entry.server
        for ref, view in views.items():
            if not view.step.best_effort or view.stopping:
                continue
            seen = entry.session.present.get(ref)
            if seen is not None:
                counts_at = seen.first_at + MIN_SAMPLE_AGE
                if now >= counts_at:
                    continue
                entry.expires_at = min(entry.expires_at, counts_at)
            if server.is_interference_known(view.step, self._effects):
                server.add_best_effort_run(view.step, view.rank, self._effects)
            else:
                server.probing = True

    def _update_state(self, entry, now):
        server, agent_session = entry.server, entry.session
        server.open = (
            agent_session is not None
            and not agent_session.closed
            and self._sessions.is_followed(agent_session)
            and not _awaits_former_lease(agent_session)
            and not agent_session.draining
            and not agent_session.refusing
            and not self._state.zones.is_withdrawn(server.zone)
            and self._is_fresh(agent_session, now)
            and self._health.accepts_work(server.key, now)
        )
        server.warming_ms = _compute_warming_ms(agent_session, now)
        server.suspect = self._health.is_suspect(server.key, now)
        if self._speeds is not None:
            server.speed = self._speeds.find(server.key, now)
        server.recent_success = self._health.has_recent_success(server.key)

    def _is_fresh(self, agent_session, now):
        # An agent that has missed two polls gets no new runs.
        silence = now - (
            agent_session.lease_end - self._options.lease_expiry_delay
        )
        return silence < 3 * self._options.max_poll_wait


class _Entry:
    """One server with what decides when it has to be built again.

    Attributes:
        server: The ``Server``.
        session: The ``Session`` that it was built from, or None.
        expires_at: Monotonic time at which a further measurement counts.
    """

    def __init__(self, *, server, session):
        self.server = server
        self.session = session
        self.expires_at = datetime.timedelta.max
        self._listed_at = session.listed_at if session else None
        self._capacity = session.capacity if session else None

    def is_stale(self, agent_session, now):
        """Return whether the server has to be built again.

        Args:
            agent_session: Its current ``Session``, or None.
            now: Monotonic time.
        """
        if self.server.is_modified or now >= self.expires_at:
            return True
        if agent_session is not self.session:
            return True
        return agent_session is not None and (
            agent_session.listed_at != self._listed_at
            or agent_session.capacity != self._capacity
        )


def _compute_warming_ms(agent_session, now):
    if agent_session is None or agent_session.warm_at <= now:
        return 0
    return (agent_session.warm_at - now) // MILLISECOND


def _awaits_former_lease(agent_session):
    # Runs under an earlier agent's lease may still be alive until the new
    # agent has listed the runs.
    return (
        agent_session.uncertain_until is not None
        and agent_session.listed_at is None
    )


def _add_fresh(entry, views, now):
    """Add the runs that were started a short time ago."""
    present = entry.session.present if entry.session is not None else {}
    for ref, view in views.items():
        seen = present.get(ref)
        if probation.is_settled(seen, now):
            continue
        task = view.row.find_task(ref.task)
        entry.server.add_fresh(ref.workflow, suspected=task.is_suspect)
        if seen is not None:
            settles_at = seen.first_at + probation.SETTLING_TIME
            entry.expires_at = min(entry.expires_at, settles_at)


def _add_measurements(entry, views, now):
    """Add measured tail latencies and CPU use of the runs on a server."""
    server, agent_session = entry.server, entry.session
    requested = used = 0.0
    for ref, seen in agent_session.present.items():
        view = views.get(ref)
        if view is None:
            continue
        if view.step.target_ms:
            share = seen.running.gauge / view.step.target_ms
            server.tails.append((view.step.image, share))
            continue
        if not view.step.best_effort:
            continue
        if now < seen.first_at + MIN_SAMPLE_AGE:
            continue
        server.best_effort_runs.append(
            candidate.BestEffortRun(
                image=view.step.image,
                tenths=candidate.TENTHS_PER_SERVER
                * seen.running.gauge
                / max(server.cpu, 1),
                rank=view.rank,
            )
        )
        if ref not in agent_session.interfering:
            requested += view.step.cpu * seen.running.pace / FULL_PACE
            used += seen.running.gauge
    if requested:
        server.satisfaction = used / requested
