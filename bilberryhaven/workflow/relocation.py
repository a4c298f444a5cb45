"""Relocation of throttled best-effort runs to faster servers."""

from bilberryhaven.workflow import server_cost

__all__ = ['list_relocations']

# Progress in percent up to which a run without checkpoints is relocated: with
# less than half done, a restart at full speed ends sooner than waiting does.
MAX_LOST_PERCENT = 50


def list_relocations(views, slow, present, server, others, effects):
    """Return the throttled runs that would run faster on another server.

    Args:
        views: ``RunView`` by run, all that count on the server.
        slow: Runs that have been throttled there for long.
        present: ``Presence`` by run, as the server listed them.
        server: The ``Server`` that they are on.
        others: The ``Server`` rows to choose from; ``server`` itself is
            skipped. Relocated runs are claimed on them.
        effects: The ``InterferenceEffects``.

    Returns:
        The ``RunRef`` of each run to relocate, lowest rank first.
    """
    relocations = []
    ranked = [views[ref] for ref in slow if ref in views]
    for view in sorted(ranked, key=lambda item: item.rank):
        if view.stopping or not _is_cheap_to_relocate(view, present):
            continue
        rank = view.rank
        fits = [
            other
            for other in others
            if other.key != server.key
            and other.open
            and other.pool == view.row.pool
            and server_cost.is_eligible(other, view.step)
            and other.has_capacity(view.step)
            and server_cost.can_take_best_effort(
                other, view.step, rank, effects
            )
        ]
        if fits:
            best = max(
                fits,
                key=lambda item: item.predict_speed_share(
                    view.step, rank, effects
                ),
            )
            best.claim(view.step, view.group)
            best.add_best_effort_run(view.step, rank, effects)
            relocations.append(view.ref)
    return relocations


def _is_cheap_to_relocate(view, present):
    """Return whether a relocation loses little of a run's work."""
    if view.step.saves_progress:
        return True
    seen = present.get(view.ref)
    return seen is not None and seen.running.percent < MAX_LOST_PERCENT
