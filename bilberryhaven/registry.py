"""Registries that decorators fill."""

from bilberryhaven import errors

__all__ = ['Registry']


class Registry:
    """Maps a name to a class or function of one family.

    Args:
        family: What the entries are, for error messages.
    """

    def __init__(self, *, family):
        self.family = family
        self._entries = {}

    def register(self, name):
        """Return a decorator that files its target under ``name``."""

        def decorate(target):
            if name in self._entries:
                raise errors.InternalError(
                    f'{self.family} {name!r} is registered twice',
                    step='register',
                )
            self._entries[name] = target
            return target

        return decorate

    def get(self, name):
        """Return the entry called ``name``.

        Raises:
            NotFoundError: No entry has that name; the message lists them.
        """
        if name not in self._entries:
            raise errors.NotFoundError(
                f'no {self.family} is called {name!r}; '
                f'there are: {", ".join(self.names())}',
                step='look-up',
            )
        return self._entries[name]

    def names(self):
        """Return the registered names, sorted."""
        return sorted(self._entries)

    def items(self):
        """Return the (name, entry) pairs in order of registration."""
        return list(self._entries.items())
