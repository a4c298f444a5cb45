"""HTTP handlers towards callers, operators and the worker beside an agent."""

from bilberryhaven import clock as clocks
from bilberryhaven import errors
from bilberryhaven.platform import catalogs
from bilberryhaven.platform import jobs
from bilberryhaven.platform import workers
from bilberryhaven.wire import server
from bilberryhaven.workflow import message

__all__ = [
    'build_caller_handler',
    'build_operator_handler',
    'build_worker_handler',
]

DEADLINE_HEADER = 'HTTP_X_DEADLINE_MS'
MS = clocks.seconds(0.001)
# Callers that say nothing wait about as long as the sites' sheets say.
DEFAULT_DEADLINE_MS = 3_000
# Share of a caller's deadline for which a leader is looked for; the rest
# lets the answer arrive in time.
SEARCH_SHARE = 0.6
OPERATOR_TIMEOUT = clocks.seconds(0.9)
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 504
HEARTBEAT_PATH = '/Instances.Heartbeat/'
LEAVE_PATH = '/Instances.Deregister/'


def build_caller_handler(gateway, is_draining):
    """Return the function that answers callers.

    Args:
        gateway: The ``Gateway``.
        is_draining: Function that tells whether the process is stopping.
    """

    def handle(environ, body):
        try:
            return _close_if(is_draining(), _answer_caller(environ, body))
        except errors.BilberryhavenError as error:
            return _close_if(is_draining(), _build_refusal(error))

    def _answer_caller(environ, body):
        address = {
            'host': environ.get('HTTP_HOST', '').partition(':')[0],
            'path': environ['PATH_INFO'],
        }
        method = environ['REQUEST_METHOD']
        if method == 'POST':
            request = jobs.decode_job(body, **address)
        elif method == 'GET':
            request = message.Inquire(**address)
        elif method == 'DELETE':
            request = message.Cancel(**address)
        else:
            raise errors.MethodError(
                f'{method} is not taken here', step='read request'
            )
        reply = gateway.send(
            request,
            timeout=_read_deadline(environ) * SEARCH_SHARE,
            step=type(request).__name__.lower(),
        )
        if isinstance(reply, message.CountReply):
            return server.Response(body=jobs.encode_count(reply))
        return server.Response(body=jobs.encode_state(reply))

    return handle


def build_operator_handler(gateway):
    """Return the function that answers operators."""

    def handle(environ, body):
        call = (environ['REQUEST_METHOD'], environ['PATH_INFO'])
        try:
            if call == ('POST', '/Config.Replace'):
                return _replace(body)
            if call == ('GET', '/Config.Get'):
                return _read()
        except errors.BilberryhavenError as error:
            return _build_refusal(error)
        error = errors.NotFoundError(
            f'no call {" ".join(call)}', step='dispatch'
        )
        return _build_refusal(error)

    def _replace(body):
        request = catalogs.decode_configuration(body)
        gateway.send(request, timeout=OPERATOR_TIMEOUT, step='replace')
        return server.Response(body=b'{}')

    def _read():
        reply = gateway.send(
            message.ReadCatalog(), timeout=OPERATOR_TIMEOUT, step='read'
        )
        if not reply.version:
            raise errors.UnavailableError(
                'there is no configuration yet', step='read', retry_after=1
            )
        return server.Response(body=reply.document)

    return handle


def build_worker_handler(agent):
    """Return the function that takes the worker's heartbeats."""

    def handle(environ, body):
        path = environ['PATH_INFO']
        try:
            if path.startswith(HEARTBEAT_PATH):
                worker_id = path[len(HEARTBEAT_PATH) :]
                told = workers.decode_heartbeat(worker_id, body)
                agent.handle_announcement(told)
                return server.Response(body=b'{}')
            if path.startswith(LEAVE_PATH):
                return server.Response(body=b'{}')
        except errors.BilberryhavenError as error:
            return _build_refusal(error)
        return _build_refusal(
            errors.NotFoundError(f'no path {path}', step='dispatch')
        )

    return handle


def _read_deadline(environ):
    text = environ.get(DEADLINE_HEADER, '')
    given = int(text) if text.isdigit() else 0
    return (given or DEFAULT_DEADLINE_MS) * MS


def _build_refusal(error):
    """Return the answer to a request that failed.

    A status of 503 says that nothing was run, so what may have been carried
    out is told by 504.
    """
    response = server.build_error_response(error)
    if error.status >= 500:
        known = error.outcome == errors.Outcome.NOT_RUN
        response.status = STATUS_NOT_RUN if known else STATUS_UNKNOWN
        if known:
            wait = max(1, round(error.retry_after or 1))
            response.headers['Retry-After'] = str(wait)
    return response


def _close_if(draining, response):
    if draining:
        response.headers['Connection'] = 'close'
    return response
