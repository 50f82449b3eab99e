"""Events that a shell delivers to the core, and effects that the core returns.

Events and effects are plain data.  A shell delivers one event at a time together
with the time in seconds, and carries out the returned effects in order.
"""

from __future__ import annotations

from typing import NamedTuple

from .records import Action
from .wire import CallId, GateCall, Message


class Tick(NamedTuple):
    """A periodic event on which the core checks its timers."""


class Received(NamedTuple):
    """A message from another process."""

    sender: str
    message: Message


class Instance(NamedTuple):
    """One row of the instance list of the platform."""

    name: str
    role: str
    address: str
    domain: str
    leaving: bool
    servers: tuple[str, ...]


class InstancesSeen(NamedTuple):
    """The instance list as read from the platform."""

    instances: tuple[Instance, ...]


class KvValue(NamedTuple):
    """The stored value of a key in the key-value service; revision 0 means absent."""

    key: str
    revision: int
    value: bytes


class KvWritten(NamedTuple):
    """A compare-and-swap that the key-value service confirmed."""

    key: str
    revision: int
    value: bytes


class KvConflict(NamedTuple):
    """A compare-and-swap that was rejected and so did not take effect."""

    key: str


class KvUnknown(NamedTuple):
    """No response: a read failed, or a write may have taken effect."""

    key: str
    wrote: bool


class BackendText(NamedTuple):
    """Output of a backend call as it arrives."""

    call: CallId
    text: str


class BackendEnded(NamedTuple):
    """The end of a backend call, as reported by the adapter."""

    call: CallId
    status: str
    ran: str
    text: str
    actions: tuple[Action, ...]
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


class BackendCacheReport(NamedTuple):
    """Programs for which a model engine reports that it has cached memory."""

    server: str
    programs: tuple[str, ...]


class StopRequested(NamedTuple):
    """Start a planned stop of this process."""


Event = (
    Tick
    | Received
    | InstancesSeen
    | KvValue
    | KvWritten
    | KvConflict
    | KvUnknown
    | BackendText
    | BackendEnded
    | BackendCacheReport
    | StopRequested
)


class Send(NamedTuple):
    """Send a message to a process (by address or member id)."""

    to: str
    message: Message


class KvRead(NamedTuple):
    """Read a key."""

    key: str


class KvSwap(NamedTuple):
    """Write a key if it still is at a revision."""

    key: str
    revision: int
    value: bytes


class KvWatch(NamedTuple):
    """Start or stop watching all documents of the key-value service."""

    active: bool


class BackendCall(NamedTuple):
    """Dispatch a call to a backend server."""

    call: GateCall


class BackendCancel(NamedTuple):
    """Cancel a dispatched call."""

    call: CallId
    server: str


class BackendRelease(NamedTuple):
    """Release the cached memory of programs in a model engine."""

    server: str
    programs: tuple[str, ...]


class Drained(NamedTuple):
    """A planned stop is complete; the process may exit."""


class LogMessage(NamedTuple):
    """A line for the operators' log.

    Attributes
    ----------
    level : str
        ``info`` or ``warning``.
    text : str
        One line of text.
    program : str
        Program that the line is about, if any.
    """

    level: str
    text: str
    program: str


Effect = (
    Send
    | KvRead
    | KvSwap
    | KvWatch
    | BackendCall
    | BackendCancel
    | BackendRelease
    | Drained
    | LogMessage
)
