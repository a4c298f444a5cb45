"""What all roles need as processes: signals."""

import signal
import threading

from bilberryhaven import log

__all__ = ['run_until_signal']

_logger = log.get_logger('process')


def run_until_signal(role, settings):
    """Start ``role``, wait for SIGTERM or SIGINT, and stop it gracefully.

    Returns:
        The exit status.
    """
    log.start_logging(level=settings.log_level)
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    role.start()
    _logger.info(
        '{} listens',
        settings.name,
        extra={'name': settings.name, 'address': role.address},
    )
    stopping.wait()
    _logger.info('{} is stopping', settings.name)
    role.stop()
    _logger.info('{} has stopped', settings.name)
    return 0
