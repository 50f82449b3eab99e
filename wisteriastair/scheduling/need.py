"""What a request needs, and the verdicts about it.

These types are the interface between the decisions of this package and the relay that
carries them out.
"""

from __future__ import annotations

from typing import NamedTuple

from .fleet import ServerState
from .reuse import PromptSegment


class RequestNeed(NamedTuple):
    """What a request needs of a server.

    Attributes
    ----------
    service : str
        Service that runs the request.
    segments : tuple of PromptSegment
        Segments of the prompt, the most widely shared first; empty for a plain service.
    prompt_tokens, output_tokens : int
        Tokens of the prompt, and the maximum number of tokens to generate.
    size_kb : float
        Size of the request in kilobytes.
    rank : int
        Urgency of the route or customer, 0 first.
    kind : str
        Name of the route, for estimates by kind of request.
    customer : str
        Name of the customer; empty if there is none.
    program : str
        Id of the program; empty for a single request.
    is_new_program : bool
        Whether this may be the program's first request.
    finish_s : float or None
        Seconds until the whole program should be finished; None if not stated.
    remaining_s : float
        Seconds until this request must be answered.
    """

    service: str
    segments: tuple[PromptSegment, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    size_kb: float = 0.0
    rank: int = 0
    kind: str = ""
    customer: str = ""
    program: str = ""
    is_new_program: bool = False
    finish_s: float | None = None
    remaining_s: float = 0.0


class RunHere(NamedTuple):
    """The request is sent to this server."""

    state: ServerState


class Wait(NamedTuple):
    """The request is decided again after this time in seconds."""

    seconds: float


class Refuse(NamedTuple):
    """The request is refused and never runs.

    Attributes
    ----------
    reason : str
        Why, for the log and the caller.
    retry_after_s : float
        Seconds after which a retry is likely to be accepted.
    """

    reason: str
    retry_after_s: float


Verdict = RunHere | Wait | Refuse
