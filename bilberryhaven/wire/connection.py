"""HTTP connections whose own errors are coded JSON, like all others."""

import json

from cheroot import server

from bilberryhaven import errors

__all__ = ['JsonErrorConnection']

TIMEOUT_STATUS = 408


class JsonErrorRequest(server.HTTPRequest):
    """A request that can't be read is answered in JSON, then closed."""

    def simple_response(self, status, msg=''):
        """Answer a request that never reached the application."""
        number = int(str(status)[:3])
        error = _build_error(number, msg or str(status)[4:])
        body = json.dumps(error.to_dict()).encode()
        head = (
            f'HTTP/1.1 {status}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n'
            'Connection: close\r\n\r\n'
        )
        self.close_connection = True
        try:
            self.conn.wfile.write(head.encode('latin-1') + body)
        except OSError:
            return


class JsonErrorConnection(server.HTTPConnection):
    """A connection of ``JsonErrorRequest``."""

    RequestHandlerClass = JsonErrorRequest


def _build_error(status, text):
    if status == TIMEOUT_STATUS:
        return errors.DeadlineError(
            text, step='read request', outcome=errors.Outcome.NOT_RUN
        )
    if status >= 500 and status not in (501, 505):
        return errors.InternalError(text, step='serve request')
    return errors.BadInputError(text, step='read request')
