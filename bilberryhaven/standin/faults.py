"""Faults that a stand-in backend server can be told to show."""

import dataclasses

__all__ = ['Faults']


@dataclasses.dataclass(kw_only=True, slots=True)
class Faults:
    """Switches, read at each request; all are off by default.

    Attributes:
        fail_all: Every request and task start fails at once.
        hang: Requests never answer.
        late_ms: Answers come this much later than they are ready.
        lose_answer: Requests run, then the connection breaks.
        truncate_answer: Answers break off in the middle.
        wrong_size: Answers declare a length that isn't theirs.
        wrong_digest: Answers carry another answer's digest.
        crossed_answer: Answers carry another request's id.
        slowdown: Factor on each request's service time.
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
