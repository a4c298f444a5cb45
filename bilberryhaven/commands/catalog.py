"""Commands on the catalog of queues and pools."""

from bilberryhaven import commands
from bilberryhaven.tables import catalog

__all__ = ['ReplaceCatalog']


class ReplaceCatalog(commands.Command):
    """Replaces the catalog by one of a higher version.

    A version that isn't higher than the one in force changes nothing and is
    accepted: it is a resend, or was overtaken.
    """

    catalog: catalog.Catalog

    def apply(self, state):
        """Store the catalog if it is newer; return the version in force."""
        current = state.catalogs.find_current()
        if current is None or self.catalog.version > current.version:
            state.catalogs.put(self.catalog)
        return state.catalogs.find_current().version
