"""Base class of actors that survive unexpected errors."""

import pykka

from bilberryhaven import log

__all__ = ['ResilientActor']

_logger = log.get_logger('actor')


class ResilientActor(pykka.ThreadingActor):
    """Actor that logs an unexpected exception and handles the next message.

    The library stops an actor whose handler raises. A single malformed
    message would then end what the actor does for the rest of the process's
    life.
    """

    use_daemon_thread = True

    def on_receive(self, message):
        """Pass a message to ``handle``."""
        try:
            self.handle(message)
        except Exception:  # noqa: BLE001
            _logger.exception(
                '{} failed to handle {}',
                type(self).__name__,
                type(message).__name__,
            )

    def handle(self, message):
        """Handle one message.

        Args:
            message: The message.
        """
        raise NotImplementedError
