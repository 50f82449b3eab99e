"""Messages between relays and keepers about servers that crash under requests.

They belong to the messages of `ledgerwire`, and any of them may be lost, duplicated or
delayed: crashes only add to each other, a server that may have crashed expires, and a
relay repeats its reports.
"""

from __future__ import annotations

import msgspec


class ExposedServer(msgspec.Struct, frozen=True, array_like=True):
    """A server that may turn out to have crashed under a request.

    Attributes
    ----------
    server : int
        Key of the server's incarnation.
    remaining_ms : int
        Milliseconds until it counts as alive.
    suspicion : int
        What its end says of the request, see `scheduling.exposure.Suspicion`.
    """

    server: int
    remaining_ms: int
    suspicion: int = 0


class SettledServers(msgspec.Struct, frozen=True, array_like=True):
    """Servers that have survived a request, and when they would have expired."""

    key: bytes
    servers: list[ExposedServer]


class RequestCrashes(msgspec.Struct, frozen=True, array_like=True):
    """Servers that crashed under a request.

    Attributes
    ----------
    key : bytes
        Key of the request, the same for all of its attempts.
    servers : list of int
        Keys of the servers' incarnations.
    remaining_ms : int
        Milliseconds until the request is forgotten.
    description : str
        What operators are told of the request.
    exposed : list of ExposedServer
        Servers that may turn out to have crashed.
    variant : bytes
        Digest of the headers of its attempts; empty if it is unknown.
    """

    key: bytes
    servers: list[int]
    remaining_ms: int
    description: str = ""
    exposed: list[ExposedServer] = []
    variant: bytes = b""


class ServerClaim(msgspec.Struct, frozen=True, array_like=True):
    """A server that a request claims, or has claimed.

    Attributes
    ----------
    key : bytes
        Digest of the request.
    server : int
        Key of the server's incarnation; 0 in a reply for none.
    """

    key: bytes
    server: int


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Crashes that a relay found, to some keepers, which reply to it.

    Any report subscribes the relay to updates for some seconds.

    Attributes
    ----------
    op : int
        Number of the report; 0 if no reply is needed.
    answered : list of bytes
        Keys of remembered requests that a server has answered, each followed by the
        digest of its headers if that is known.
    wants_all : bool
        Whether the relay has missed an update.
    settled : list of SettledServers
        Servers that have not crashed under requests reported before.
    claims : list of ServerClaim
        Claims of requests; a keeper replies with those that it has granted.
    """

    op: int
    crashes: list[RequestCrashes] = []
    answered: list[bytes] = []
    wants_all: bool = False
    settled: list[SettledServers] = []
    claims: list[ServerClaim] = []


class CrashUpdate(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Requests that any relay may have to stop or to forget, from a keeper.

    Attributes
    ----------
    base, revision : int
        Revisions of the sender's table before and after the changes; a base of 0 means
        that the message has the whole table.
    forgotten : list of bytes
        Keys of requests that are forgotten, as in `CrashReport.answered`.
    op : int
        Report that this replies to; 0 for none.
    settled : list of SettledServers
        Servers that have not crashed.
    claims : list of ServerClaim
        The granted claims of a report.
    """

    base: int
    revision: int
    crashes: list[RequestCrashes] = []
    forgotten: list[bytes] = []
    op: int = 0
    settled: list[SettledServers] = []
    claims: list[ServerClaim] = []
