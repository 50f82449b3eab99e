"""From a step of a program to a call at a gate.

Knows which servers may take a call, what each is believed to have cached and how
loaded it is, and leaves the choice to the router.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from .config import Config, Service
from .peers import Peers
from .program import Program
from .routing import Call, Candidate, Router
from .wire import CallResult, ServerLoad

LOAD_MAX_AGE_S: Final = 10.0


class Place(NamedTuple):
    """Where a call goes: a server and the gate incarnation before it."""

    server: str
    gate: str
    target: str


class _ServerView:
    """What is known of one server."""

    def __init__(self) -> None:
        self.load: ServerLoad | None = None
        self.load_at = 0.0
        self.sent_since = 0


class Dispatcher:
    """Chooses servers for calls.

    Parameters
    ----------
    router : Router
        The rule.
    peers : Peers
        For the gates' incarnations.
    """

    def __init__(self, router: Router, peers: Peers) -> None:
        self._router = router
        self._peers = peers
        self._views: dict[str, _ServerView] = {}
        self._shared: dict[tuple[str, str], int] = {}
        self._sequence = 0

    def place_model(
        self, program: Program, service: Service, config: Config, avoid: str, now: float
    ) -> Place | None:
        """Choose a server for the next model call; None if there is none now."""
        for model in service.models:
            servers = self._servers(config, "model", model, avoid, now)
            if servers:
                return self._choose(program, service, model, servers, now)
        return None

    def place_tool(
        self, program: Program, provider: str, config: Config, avoid: str, now: float
    ) -> Place | None:
        """Choose a plain server for a tool call."""
        servers = self._servers(config, "plain", provider, avoid, now)
        if not servers:
            return None
        service = program.start.definition
        return self._choose(program, service, provider, servers, now)

    def serves_any(self, service: Service, config: Config) -> bool:
        """Whether any active server serves the service."""
        return any(
            server.state == "active" and set(server.serves) & set(service.models)
            for server in config.servers.values()
        )

    def expected_wait_s(self, service: Service, config: Config, now: float) -> float:
        """Seconds that a new program's first call would wait at the best server.

        0 if nothing recent is known: a carrier that has heard of no queue must not
        refuse because of one.
        """
        waits = []
        for server in config.servers.values():
            if server.kind != "model" or server.state != "active":
                continue
            if not set(server.serves) & set(service.models):
                continue
            waits.append(self._router.wait_s(self._load_of(server.name, now)))
        return min(waits, default=0.0)

    def _load_of(self, server: str, now: float) -> Candidate:
        view = self._views.setdefault(server, _ServerView())
        fresh = now - view.load_at <= LOAD_MAX_AGE_S
        load = view.load if fresh else None
        return Candidate(server, 0, load, view.sent_since)

    def _servers(
        self, config: Config, kind: str, target: str, avoid: str, now: float
    ) -> dict[str, str]:
        """Active servers of a kind with the member id of their gate."""
        found: dict[str, str] = {}
        for server in config.servers.values():
            if server.kind != kind or server.state != "active":
                continue
            if target not in server.serves:
                continue
            instance = self._peers.gate_of(server.name)
            if instance is None or instance.leaving:
                continue
            member = self._peers.member_at(instance.address, now)
            if member and not self._peers.silent(member, now):
                found[server.name] = member
        if len(found) > 1:
            found.pop(avoid, None)
        return found

    def _choose(
        self,
        program: Program,
        service: Service,
        target: str,
        servers: dict[str, str],
        now: float,
    ) -> Place:
        self._sequence += 1
        call = Call(
            program.start.program,
            service.name,
            program.prompt_bound(),
            service.waste_weight,
            self._sequence,
        )
        candidates = [
            self._candidate(program, service.name, name, now)
            for name in sorted(servers)
        ]
        chosen = self._router.choose(call, candidates).server
        self._views.setdefault(chosen, _ServerView()).sent_since += 1
        return Place(chosen, servers[chosen], target)

    def _candidate(
        self, program: Program, service: str, server: str, now: float
    ) -> Candidate:
        cached = self._shared.get((service, server), 0)
        if server == program.last_server:
            cached = program.last_tokens
        return self._load_of(server, now)._replace(cached_tokens=cached)

    def learn(self, program: Program, result: CallResult, now: float) -> None:
        """Take a server's load and what it had cached from a result."""
        view = self._views.setdefault(result.server, _ServerView())
        view.load = result.load
        view.load_at = now
        # The report was made when the call ended; calls sent since then that are
        # still under way are in it, so counting them again would scare callers off.
        view.sent_since = 0
        first = program.last_tokens == 0
        if first and result.status == "ok":
            key = (program.start.service, result.server)
            self._shared[key] = result.cached_tokens
