"""Requests, and the effects that the request core asks for."""

import dataclasses
import datetime

from bilberryhaven.entry import responses
from bilberryhaven.wire import message

__all__ = ['Claim', 'Dispatch', 'Request', 'Resync', 'Respond', 'Revoke']


@dataclasses.dataclass(kw_only=True, slots=True)
class Request:
    """A caller's request.

    Attributes:
        id: Its id; the caller's own where ``keyed``.
        workload: Name of the workload.
        body: The caller's input.
        timeout: Time until its deadline.
        idempotent: Whether the caller allows it to run again.
        urgent: Whether it goes before others that wait.
        keyed: Whether the caller chose the id and may send it again.
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
    """Ask the leader for the right to dispatch a request once."""

    request_id: str
    workload: str
    holder: str
    timeout: datetime.timedelta


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Dispatch:
    """Send a request to an agent.

    Attributes:
        request_id: The request's id.
        target: The instance's ``Target``.
        address: HOST:PORT of its agent.
        message: The ``AdmitRequest``.
        timeout: Longest wait for the reply.
        sent_at: Monotonic time of the decision.
        settled: Whether its reply or fault was taken in.
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
        timeout: Longest wait for the reply.
        dispatch: The dispatch that is revoked.
        awaited: Whether the request goes on only with the reply.
    """

    request_id: str
    address: str
    timeout: datetime.timedelta
    dispatch: Dispatch
    awaited: bool = True


@dataclasses.dataclass(kw_only=True, slots=True)
class Resync:
    """Renew the view; the request goes on when that is done.

    Attributes:
        request_id: The request's id.
        timeout: Longest wait.
    """

    request_id: str
    timeout: datetime.timedelta


@dataclasses.dataclass(kw_only=True, slots=True)
class Respond:
    """Give a caller its one answer."""

    caller: object
    response: responses.Response
