"""Commands on the catalog of queues and pools."""

from bilberryhaven import commands
from bilberryhaven.tables import catalog

__all__ = ['ReplaceCatalog']


class ReplaceCatalog(commands.Command):
    """Replaces the catalog by one of a higher version.

    A version that isn't higher than the one in force is accepted without
    effect: it is a duplicate, or a newer version was committed before it.
    """

    catalog: catalog.Catalog

    def apply(self, state):
        """Store the catalog if its version is higher; return that in force."""
        current = state.catalogs.find_current()
        if current is None or self.catalog.version > current.version:
            state.catalogs.put(self.catalog)
        return state.catalogs.find_current().version
