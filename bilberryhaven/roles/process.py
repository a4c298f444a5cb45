"""Signal handling of a role's process."""

import signal
import sys
import threading

import bilberryhaven
from bilberryhaven import build
from bilberryhaven import log
from bilberryhaven.wire import intake

__all__ = ['run_until_signal']

_logger = log.get_logger('process')


def run_until_signal(role, settings):
    """Start ``role``, wait for SIGTERM or SIGINT, and stop it gracefully.

    SIGHUP calls the role's ``reload``, if it has one.

    Returns:
        The exit status.
    """
    log.start_logging(
        level=settings.log_level, stream=sys.stdout, background=True
    )
    intake.PROCESS.configure(settings.input)
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    signal.signal(signal.SIGHUP, lambda *_: _reload(role, settings))
    role.start()
    _logger.info(
        '{} listens',
        settings.name,
        extra={
            'name': settings.name,
            'address': role.address,
            'role': type(role).__name__,
            'version': bilberryhaven.__version__,
            'build': build.compute_digest(),
        },
    )
    stopping.wait()
    _logger.info('{} is stopping', settings.name)
    role.stop()
    _logger.info('{} has stopped', settings.name)
    return 0


def _reload(role, settings):
    _logger.info('{} is reloading its settings', settings.name)
    reload = getattr(role, 'reload', None)
    if reload is not None:
        threading.Thread(target=reload, name='reload', daemon=True).start()
