"""Faults that can be injected into a stand-in backend server."""

import dataclasses

__all__ = ['Faults']


@dataclasses.dataclass(kw_only=True, slots=True)
class Faults:
    """Injected faults, read at each request; all are off by default.

    Attributes:
        fail_all: Every request and task start fails immediately.
        hang: Requests are never answered.
        late_ms: Delay of each answer after it is ready, in milliseconds.
        lose_answer: The request runs, then the connection is closed without
            an answer.
        truncate_answer: The connection is closed in the middle of the answer.
        wrong_size: Answers declare a wrong length.
        wrong_digest: Answers contain the digest of another answer.
        crossed_answer: Answers contain the id of another request.
        slowdown: Factor applied to each request's service time.
    """

    fail_all: bool = False
    hang: bool = False
    late_ms: float = 0.0
    lose_answer: bool = False
    truncate_answer: bool = False
    wrong_size: bool = False
    wrong_digest: bool = False
    crossed_answer: bool = False
    slowdown: float = 1.0
