"""JSON-lines logs, with one line for each decision."""

import json
import sys

import logbook

__all__ = ['JsonHandler', 'get_logger', 'log_decision', 'start_logging']


def get_logger(name):
    """Return the logger called ``name``."""
    return logbook.Logger(name)


class JsonHandler(logbook.StreamHandler):
    """Writes each record as one JSON object a line."""

    def format(self, record):
        """Return the record as JSON text."""
        fields = {
            'time': record.time.isoformat(),
            'level': record.level_name.lower(),
            'logger': record.channel,
            'message': record.message,
        }
        fields.update(record.extra)
        if record.exc_info:
            fields['exception'] = record.formatted_exception
        return json.dumps(fields, default=str)


def start_logging(*, level='info', stream=None):
    """Send log lines to ``stream``, standard error by default."""
    logbook.set_datetime_format('utc')
    handler = JsonHandler(stream or sys.stderr, level=level.upper())
    handler.push_application()
    return handler


def log_decision(logger, decision, *, reason, **terms):
    """Write the line of one routing or placement decision.

    Args:
        logger: The deciding module's logger.
        decision: What was decided, such as ``place`` or ``evict``.
        reason: Why, for a person.
        **terms: The values that decided it.
    """
    extra = {'decision': decision, 'reason': reason, **terms}
    logger.info('{}: {}', decision, reason, extra=extra)
