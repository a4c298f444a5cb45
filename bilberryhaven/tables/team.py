"""Teams and their quotas."""

import dataclasses

from bilberryhaven import tables
from bilberryhaven.tables import table

__all__ = ['Team', 'TeamTable']


@dataclasses.dataclass(kw_only=True, slots=True)
class Team:
    """One team.

    Attributes:
        name: Unique name.
        quota: Slots that its batch tasks and watches may occupy concurrently;
            0 for no limit.
        weight: Share of free slots relative to other teams.
        version: Increases with each accepted change.
    """

    name: str
    quota: int = 0
    weight: float = 1.0
    version: int = 1


@tables.register('teams')
class TeamTable(table.Table):
    """Teams by name."""

    name = 'teams'
    row_class = Team
