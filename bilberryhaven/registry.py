"""Registries of classes and functions, filled by decorators."""

from bilberryhaven import errors

__all__ = ['Registry']


class Registry:
    """Maps names to the classes or functions of one family.

    Args:
        family: Kind of the entries, for error messages.
    """

    def __init__(self, *, family):
        self.family = family
        self._entries = {}

    def register(self, name):
        """Return a decorator that registers its target as ``name``."""

        def decorate(target):
            if name in self._entries:
                raise errors.InternalError(
                    f'{self.family} {name!r} is already registered',
                    step='register',
                )
            self._entries[name] = target
            return target

        return decorate

    def get(self, name):
        """Return the entry registered as ``name``.

        Raises:
            NotFoundError: No entry has that name; the message lists those
                that are registered.
        """
        if name not in self._entries:
            raise errors.NotFoundError(
                f'unknown {self.family} {name!r}; '
                f'expected one of: {", ".join(self.names())}',
                step='look-up',
            )
        return self._entries[name]

    def names(self):
        """Return the registered names, sorted."""
        return sorted(self._entries)

    def items(self):
        """Return the (name, entry) pairs in registration order."""
        return list(self._entries.items())
