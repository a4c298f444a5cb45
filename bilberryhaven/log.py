"""JSON-lines logs, with one line for each decision."""

import atexit
import json
import queue
import sys
import threading

import logbook

__all__ = [
    'BackgroundStream',
    'JsonHandler',
    'get_logger',
    'log_decision',
    'start_logging',
]

# Lines that may wait for a slow reader: some seconds of a busy leader's.
MAX_WAITING_LINES = 5_000
FLUSH_SECONDS = 1.0


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


class BackgroundStream:
    """Writes to a stream on a thread of its own; never blocks its callers.

    Where the reader is too slow, lines are left out; the next line that is
    written is preceded by one that says how many were.

    Args:
        stream: Where the lines go.
        limit: How many lines may wait.
    """

    def __init__(self, *, stream, limit=MAX_WAITING_LINES):
        self._stream = stream
        self._waiting = queue.Queue(limit)
        self._left_out = 0
        self._lock = threading.Lock()
        threading.Thread(target=self._run, name='log', daemon=True).start()

    def write(self, text):
        """Queue ``text``, or leave it out where too much waits."""
        try:
            self._waiting.put_nowait(text)
        except queue.Full:
            with self._lock:
                self._left_out += 1

    def flush(self):
        """Return at once; the thread flushes after each line."""

    def drain(self, timeout=FLUSH_SECONDS):
        """Wait until all lines are written, for at most ``timeout`` s."""
        done = threading.Event()
        try:
            self._waiting.put(done, timeout=timeout)
        except queue.Full:
            return
        done.wait(timeout)

    def _run(self):
        while True:
            item = self._waiting.get()
            if isinstance(item, threading.Event):
                item.set()
                continue
            try:
                self._stream.write(self._describe_left_out() + item)
                self._stream.flush()
            except (OSError, ValueError):
                # The reader is gone; there is nowhere left to say so.
                continue

    def _describe_left_out(self):
        with self._lock:
            count, self._left_out = self._left_out, 0
        if not count:
            return ''
        line = {'level': 'warning', 'logger': 'log', 'left_out': count}
        line['message'] = f'{count} lines were left out; the reader is slow'
        return json.dumps(line) + '\n'


def start_logging(*, level='info', stream=None, background=False):
    """Send log lines to ``stream``, standard error by default.

    Args:
        level: Lowest level that is logged.
        stream: Where the lines go.
        background: Whether a slow reader must not hold up the process.
    """
    logbook.set_datetime_format('utc')
    stream = stream or sys.stderr
    if background:
        stream = BackgroundStream(stream=stream)
        atexit.register(stream.drain)
    handler = JsonHandler(stream, level=level.upper())
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
