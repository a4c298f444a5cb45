"""Logging as JSON lines, with one line per scheduling decision."""

import atexit
import collections
import datetime
import json
import queue
import sys
import threading

import logbook

__all__ = [
    'BackgroundStream',
    'BoundedLog',
    'JsonHandler',
    'get_logger',
    'log_decision',
    'round_seconds',
    'silence',
    'start_logging',
]

# Lines that may be queued for a slow reader: a few seconds of output of a
# busy leader.
MAX_QUEUED_LINES = 5_000
FLUSH_TIMEOUT_SECONDS = 1.0
# Interval between two lines on one topic of a ``BoundedLog``.
BOUNDED_INTERVAL = datetime.timedelta(seconds=1)


def get_logger(name):
    """Return the logger called ``name``."""
    return logbook.Logger(name)


class JsonHandler(logbook.StreamHandler):
    """Writes each record as one JSON object per line."""

    def format(self, record):
        """Return the record encoded as JSON."""
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


class BackgroundStream:
    """Writes to a stream from a background thread; callers never block.

    Lines are dropped while the queue is full because the reader is too slow.
    The next line that is written is preceded by one that reports how many
    were dropped.

    Args:
        stream: Destination of the lines.
        limit: Largest number of queued lines.
    """

    def __init__(self, *, stream, limit=MAX_QUEUED_LINES):
        self._stream = stream
        self._lines = queue.Queue(limit)
        self._dropped_lines = 0
        self._lock = threading.Lock()
        threading.Thread(target=self._run, name='log', daemon=True).start()

    def write(self, text):
        """Queue ``text``, or drop it if the queue is full."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            with self._lock:
                self._dropped_lines += 1

    def flush(self):
        """Do nothing; the background thread flushes after each line."""

    def drain(self, timeout=FLUSH_TIMEOUT_SECONDS):
        """Wait until the queued lines are written.

        Args:
            timeout: Longest wait in seconds, first for space in the queue
                and then for the lines to be written.
        """
        done = threading.Event()
        try:
            self._lines.put(done, timeout=timeout)
        except queue.Full:
            return
        done.wait(timeout)

    def _run(self):
        while True:
            item = self._lines.get()
            if isinstance(item, threading.Event):
                item.set()
                continue
            try:
                self._stream.write(self._format_dropped() + item)
                self._stream.flush()
            except (OSError, ValueError):
                # The reader closed the stream, so this can't be reported.
                continue

    def _format_dropped(self):
        with self._lock:
            count, self._dropped_lines = self._dropped_lines, 0
        if not count:
            return ''
        line = {'level': 'warning', 'logger': 'log', 'left_out': count}
        line['message'] = f'{count} lines were left out; the reader is slow'
        return json.dumps(line) + '\n'


class BoundedLog:
    """Writes at most one line per topic and interval, and counts the rest.

    For what other processes can cause as often as they like.

    Args:
        logger: The logger to write to.
        clock: The ``Clock``.
        interval: Shortest time between two lines on one topic, a timedelta.
    """

    def __init__(self, *, logger, clock, interval=BOUNDED_INTERVAL):
        self._logger = logger
        self._clock = clock
        self._interval = interval
        self._written_at = {}
        self._left_out = collections.Counter()
        self._lock = threading.Lock()

    def warning(self, topic, text, **fields):
        """Log a warning, unless the topic's last line is too recent.

        Args:
            topic: What is counted together; one of a fixed number.
            text: The message.
            **fields: Further fields of the line.
        """
        if self._count(topic, fields):
            self._logger.warning('{}', text, extra=fields)

    def exception(self, topic, text):
        """Log the exception that is being handled, within the same bound.

        Args:
            topic: As for ``warning``.
            text: The message.
        """
        fields = {}
        if self._count(topic, fields):
            self._logger.exception('{}', text, extra=fields)

    def _count(self, topic, fields):
        """Return whether to write; add the number of lines left out."""
        now = self._clock.monotonic()
        with self._lock:
            written_at = self._written_at.get(topic)
            if written_at is not None and now - written_at < self._interval:
                self._left_out[topic] += 1
                return False
            self._written_at[topic] = now
            left_out = self._left_out.pop(topic, 0)
        if left_out:
            fields['left_out'] = left_out
        return True


def start_logging(*, level='info', stream=None, background=False):
    """Start writing log lines to ``stream``.

    Args:
        level: Lowest level that is logged.
        stream: Destination of the lines, standard error by default.
        background: Whether to write from a background thread, so that a slow
            reader does not block the process.
    """
    logbook.set_datetime_format('utc')
    stream = stream or sys.stderr
    if background:
        stream = BackgroundStream(stream=stream)
        atexit.register(stream.drain)
    handler = JsonHandler(stream, level=level.upper())
    handler.push_application()
    return handler


def silence():
    """Return a context manager within which nothing is logged."""
    return logbook.NullHandler().applicationbound()


def log_decision(logger, decision, *, reason, **fields):
    """Log one routing or placement decision.

    Args:
        logger: Logger of the deciding module.
        decision: Kind of decision, such as ``place`` or ``evict``.
        reason: Reason for the decision, for a person.
        **fields: Values that the decision is based on.
    """
    extra = {'decision': decision, 'reason': reason, **fields}
    logger.info('{}: {}', decision, reason, extra=extra)


def round_seconds(duration):
    """Return a duration in s as log lines have it, or None for None.

    Args:
        duration: A timedelta, or None.
    """
    return None if duration is None else round(duration.total_seconds(), 3)
