"""Log lines of decisions, recorded by tests."""

import logbook

__all__ = ['LogLines']


class LogLines:
    """The lines that are written until a test has ended.

    Args:
        test: The test case.
    """

    def __init__(self, test):
        self._handler = logbook.TestHandler()
        self._handler.push_application()
        test.addCleanup(self._handler.pop_application)

    def list(self, decision):
        """Return the fields of the lines on one kind of decision."""
        return [
            record.extra
            for record in self._handler.records
            if record.extra.get('decision') == decision
        ]

    def list_messages(self, text):
        """Return the fields of the lines whose message begins so."""
        return [
            record.extra
            for record in self._handler.records
            if record.message.startswith(text)
        ]
