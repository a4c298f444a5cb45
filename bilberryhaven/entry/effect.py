"""Requests, and the effects that the request core returns."""

import dataclasses
import datetime

from bilberryhaven.entry import responses
from bilberryhaven.wire import message

__all__ = ['Claim', 'Dispatch', 'Request', 'Resync', 'Respond', 'Revoke']


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """A caller's request.

    Attributes:
        id: Request id; the caller's idempotency key, if it sent one.
        workload: Name of the workload.
        body: Input of the request.
        timeout: Time from arrival to the deadline.
        idempotent: Whether the caller allows the request to run again.
        urgent: Whether the request is queued ahead of non-urgent ones.
        has_idempotency_key: Whether the caller chose the id and may send
            the request again with it.
    """

    id: str
    workload: str
    body: bytes = b''
    timeout: datetime.timedelta
    idempotent: bool = False
    urgent: bool = True
    has_idempotency_key: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class Claim:
    """Claim a request at the leader, so that no other holder dispatches it.

    Attributes:
        request_id: The request's id.
        workload: Name of the workload.
        holder: Name under which the request is claimed.
        timeout: Maximum wait for the reply.
    """

    request_id: str
    workload: str
    holder: str
    timeout: datetime.timedelta


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Dispatch:
    """Send a request to an agent.

    Attributes:
        request_id: The request's id.
        target: ``Target`` of the chosen instance.
        address: HOST:PORT of the instance's agent.
        message: The ``AdmitRequest`` to send.
        timeout: Maximum wait for the reply.
        sent_at: Monotonic time of the routing decision.
        settled: Whether the reply or error has been processed.
    """

    request_id: str
    target: object
    address: str
    message: message.AdmitRequest
    timeout: datetime.timedelta
    sent_at: datetime.timedelta
    settled: bool = False


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Revoke:
    """Ask an agent never to start a request.

    Attributes:
        request_id: The request's id.
        address: HOST:PORT of the agent.
        timeout: Maximum wait for the reply.
        dispatch: The ``Dispatch`` that is revoked.
        awaited: Whether the request waits for the reply before it continues.
    """

    request_id: str
    address: str
    timeout: datetime.timedelta
    dispatch: Dispatch
    awaited: bool = True


@dataclasses.dataclass(kw_only=True, slots=True)
class Resync:
    """Renew the view before the request continues.

    Attributes:
        request_id: The request's id.
        timeout: Maximum wait for the renewal.
    """

    request_id: str
    timeout: datetime.timedelta


@dataclasses.dataclass(kw_only=True, slots=True)
class Respond:
    """Return the response to a caller, exactly once.

    Attributes:
        caller: Key of the caller, as passed to ``RequestCore.submit``.
        response: The ``Response``.
    """

    caller: object
    response: responses.Response
