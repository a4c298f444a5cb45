"""HTTP handlers for callers, operators and the worker beside an agent."""

from bilberryhaven import border
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
MILLISECOND = clocks.seconds(0.001)
# For requests without a deadline header; about the waiting time that the
# sites' specifications give.
DEFAULT_DEADLINE_MS = 3_000
MAX_DEADLINE_MS = 600_000
# Share of a caller's deadline that may be spent on reaching a leader; the
# rest leaves time for the answer to arrive.
LEADER_TIMEOUT_SHARE = 0.6
OPERATOR_TIMEOUT = clocks.seconds(0.9)
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 504
HEARTBEAT_PATH = '/Instances.Heartbeat/'
DEREGISTER_PATH = '/Instances.Deregister/'
ZONE_REQUESTS = {
    '/Evacuation.Start/': message.Withdraw,
    '/Evacuation.End/': message.Restore,
}


def build_caller_handler(gateway, is_draining, zone=''):
    """Return the handler of callers' requests.

    Args:
        gateway: The ``Gateway``.
        is_draining: Function that returns whether the process is stopping.
        zone: Availability zone of the entry.
    """

    def handle(environ, body):
        try:
            return _add_close_header(
                is_draining(), _answer_caller(environ, body)
            )
        except errors.BilberryhavenError as error:
            return _add_close_header(
                is_draining(), _build_error_response(error)
            )

    def _answer_caller(environ, body):
        address = {
            'host': environ.get('HTTP_HOST', '').partition(':')[0],
            'path': environ['PATH_INFO'],
        }
        method = environ['REQUEST_METHOD']
        sent_after = None
        if method == 'POST':
            # Its sender may have sent it elsewhere and been rejected there,
            # which stays true only if it isn't accepted late.
            server.check_connected(environ, step='submit')
            request = jobs.decode_job(body, **address, zone=zone)
            sent_after = server.read_sent_after(environ)
        elif method == 'GET':
            request = message.Inquire(**address)
        elif method == 'DELETE':
            request = message.Cancel(**address)
        else:
            raise errors.MethodError(
                f'method {method} is not allowed', step='read request'
            )
        reply = gateway.send(
            request,
            timeout=_read_deadline(environ) * LEADER_TIMEOUT_SHARE,
            step=type(request).__name__.lower(),
            sent_after=sent_after,
        )
        if isinstance(reply, message.CountReply):
            return server.Response(body=jobs.encode_count(reply))
        return server.Response(body=jobs.encode_state(reply))

    return handle


def build_operator_handler(gateway):
    """Return the handler of operators' requests."""

    def handle(environ, body):
        call = (environ['REQUEST_METHOD'], environ['PATH_INFO'])
        try:
            if call == ('POST', '/Config.Replace'):
                return _replace(body)
            if call == ('GET', catalogs.READ_PATH):
                return _read()
            order = _decode_zone_order(*call)
            if order is not None:
                return _order(environ, order)
        except errors.BilberryhavenError as error:
            return _build_error_response(error)
        error = errors.NotFoundError(
            f'unknown call {" ".join(call)}', step='dispatch'
        )
        return _build_error_response(error)

    def _order(environ, order):
        step = type(order).__name__.lower()
        # Carried out late, it would undo an order given since.
        server.check_connected(environ, step=step)
        gateway.send(
            order,
            timeout=OPERATOR_TIMEOUT,
            step=step,
            sent_after=server.read_sent_after(environ),
        )
        return server.Response(body=b'{}')

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
                'no configuration has been set yet', step='read', retry_after=1
            )
        return server.Response(body=reply.document)

    return handle


def _decode_zone_order(method, path):
    """Return the order on an availability zone in a call, or None."""
    for prefix, kind in ZONE_REQUESTS.items():
        if method == 'POST' and path.startswith(prefix):
            return kind(zone=path.removeprefix(prefix))
    return None


def build_worker_handler(agent):
    """Return the handler of the worker's heartbeats."""

    def handle(environ, body):
        path = environ['PATH_INFO']
        try:
            if path.startswith(HEARTBEAT_PATH):
                worker_id = path[len(HEARTBEAT_PATH) :]
                announcement = workers.decode_heartbeat(worker_id, body)
                agent.handle_announcement(announcement)
                return server.Response(body=b'{}')
            if path.startswith(DEREGISTER_PATH):
                worker_id = path[len(DEREGISTER_PATH) :]
                agent.handle_deregistration(
                    *workers.decode_deregistration(worker_id, body)
                )
                return server.Response(body=b'{}')
        except errors.BilberryhavenError as error:
            return _build_error_response(error)
        return _build_error_response(
            errors.NotFoundError(f'unknown path {path}', step='dispatch')
        )

    return handle


def _read_deadline(environ):
    text = environ.get(DEADLINE_HEADER, '')
    requested_ms = border.parse_number(text, maximum=MAX_DEADLINE_MS)
    return (requested_ms or DEFAULT_DEADLINE_MS) * MILLISECOND


def _build_error_response(error):
    """Return the response to a request that failed.

    Statuses 404 and 503 mean that nothing was run; a request that may have
    been carried out is answered with 504.
    """
    response = server.build_error_response(error)
    not_run = error.outcome == errors.Outcome.NOT_RUN
    denies_queue = isinstance(error, errors.NotFoundError)
    if error.status >= 500 or (denies_queue and not not_run):
        response.status = STATUS_NOT_RUN if not_run else STATUS_UNKNOWN
        if not_run:
            retry_after_s = max(1, round(error.retry_after or 1))
            response.headers['Retry-After'] = str(retry_after_s)
    if isinstance(error, errors.OutdatedError):
        # A request on a new connection is newer.
        response.headers['Connection'] = 'close'
    return response


def _add_close_header(draining, response):
    if draining:
        response.headers['Connection'] = 'close'
    return response
