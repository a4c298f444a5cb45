"""What all roles need as processes: signals and plain HTTP answers."""

import json
import signal
import threading

from bilberryhaven import log
from bilberryhaven.wire import server

__all__ = ['build_error_response', 'read_author', 'run_until_signal']

AUTHOR_HEADER = 'HTTP_X_BILBERRYHAVEN_BY'

_logger = log.get_logger('process')


def build_error_response(error):
    """Return the JSON ``Response`` of an error."""
    headers = {}
    if error.retry_after is not None:
        headers['Retry-After'] = str(max(1, round(error.retry_after)))
    return server.Response(
        status=error.status,
        body=json.dumps(error.to_dict()).encode(),
        headers=headers,
    )


def read_author(environ):
    """Return who sent an API request, as its header says."""
    return environ.get(AUTHOR_HEADER) or environ.get('REMOTE_ADDR', '')


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
