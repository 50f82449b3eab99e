"""Dispatch of a program's calls to gates.

Tracks which servers can take a call, what each probably has cached and how loaded it
is. The router makes the choice.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from .config import Config, Service
from .hashing import hash64, rendezvous_order
from .peers import Peers
from .program import Program
from .routing import Call, Candidate, Router
from .wire import CallResult, ServerLoad

MAX_LOAD_AGE_S: Final = 10.0
PREFIX_CHARS: Final = 256
PREFERRED_SERVERS: Final = 2
# Weight of a new sample in the moving averages of a server's speed.
SPEED_WEIGHT: Final = 0.2
MIN_MEASURED_SERVERS: Final = 3
SLOW_FACTOR: Final = 2.0
# Approximate number of prompt tokens that an engine computes in the time of one output
# token.
PREFILL_PER_DECODE: Final = 200
MAX_PREFIXES: Final = 4_096


class CallTarget(NamedTuple):
    """Destination of a call: a server and the incarnation of its gate."""

    server: str
    gate: str
    target: str


class _ServerView:
    """Known state of one server."""

    def __init__(self) -> None:
        self.load: ServerLoad | None = None
        self.load_at = 0.0
        self.sent_since = 0
        self.token_s = 0.0
        self.call_s = 0.0


class Dispatcher:
    """Chooses servers for calls.

    Parameters
    ----------
    router : Router
        Routing policy.
    peers : Peers
        Source of the gates' incarnations.
    """

    def __init__(self, router: Router, peers: Peers) -> None:
        self._router = router
        self._peers = peers
        self._views: dict[str, _ServerView] = {}
        self._prefix_tokens: dict[tuple[int, str], int] = {}
        self._service_prefix_tokens: dict[str, int] = {}
        self._sequence = 0

    def choose_model_server(
        self,
        program: Program,
        service: Service,
        config: Config,
        avoid_server: str,
        now: float,
    ) -> CallTarget | None:
        """Choose a server for the next model call; None if none is available."""
        for model in service.models:
            servers = self._servers(program, config, "model", model, avoid_server, now)
            if servers:
                return self._choose(program, service, model, servers, now)
        return None

    def choose_tool_server(
        self,
        program: Program,
        provider: str,
        config: Config,
        avoid_server: str,
        now: float,
    ) -> CallTarget | None:
        """Choose a plain server for a tool call; None if none is available."""
        servers = self._servers(program, config, "plain", provider, avoid_server, now)
        if not servers:
            return None
        service = program.start.definition
        return self._choose(program, service, provider, servers, now)

    def serves_any(self, service: Service, config: Config) -> bool:
        """Return whether any active server serves the service."""
        return any(
            server.state == "active" and set(server.serves) & set(service.models)
            for server in config.servers.values()
        )

    def expected_wait_s(self, service: Service, config: Config, now: float) -> float:
        """Predict the wait of a new program's first call at the best server.

        The result is in seconds, and 0 without recent reports: a primary that knows of
        no queue must not reject a program because of one.
        """
        waits = []
        for server in config.servers.values():
            if server.kind != "model" or server.state != "active":
                continue
            if not set(server.serves) & set(service.models):
                continue
            waits.append(self._router.wait_s(self._candidate_load(server.name, now)))
        return min(waits, default=0.0)

    def _candidate_load(self, server: str, now: float) -> Candidate:
        view = self._views.setdefault(server, _ServerView())
        is_fresh = now - view.load_at <= MAX_LOAD_AGE_S
        load = view.load if is_fresh else None
        extra_s = self._extra_s(view) if is_fresh else 0.0
        return Candidate(server, 0, load, view.sent_since, extra_s)

    def _extra_s(self, view: _ServerView) -> float:
        """Return by how many seconds a server was recently slower than the median.

        A slow server need not have a long queue. The penalty ends when its last report
        expires, so that the server is tried again from time to time.
        """
        token_times_s = sorted(v.token_s for v in self._views.values() if v.token_s > 0)
        if len(token_times_s) < MIN_MEASURED_SERVERS or view.token_s <= 0:
            return 0.0
        median_token_s = token_times_s[len(token_times_s) // 2]
        if view.token_s < SLOW_FACTOR * median_token_s:
            return 0.0
        return view.call_s * (1.0 - median_token_s / view.token_s)

    def _servers(
        self,
        program: Program,
        config: Config,
        kind: str,
        target: str,
        avoid_server: str,
        now: float,
    ) -> dict[str, str]:
        """Return active servers of a kind with the member ids of their gates."""
        gates: dict[str, str] = {}
        allowed = program.allowed_servers()
        if allowed is not None and allowed.isdisjoint(config.servers):
            # The operators have removed them.
            allowed = None
        for server in config.servers.values():
            if allowed is not None and server.name not in allowed:
                continue
            if server.kind != kind or server.state != "active":
                continue
            if target not in server.serves:
                continue
            instance = self._peers.gate_instance_of(server.name)
            if instance is None or instance.leaving:
                continue
            member = self._peers.member_at(instance.address, now)
            if not member or self._peers.is_unresponsive(member, now):
                continue
            if not self._peers.is_draining(member):
                gates[server.name] = member
        if len(gates) > 1:
            gates.pop(avoid_server, None)
        return gates

    def _choose(
        self,
        program: Program,
        service: Service,
        target: str,
        servers: dict[str, str],
        now: float,
    ) -> CallTarget:
        self._sequence += 1
        call = Call(
            program.start.program,
            service.name,
            program.prompt_token_bound(),
            service.waste_weight,
            self._sequence,
        )
        preferred = rendezvous_order(f"prefix {_prefix_hash(program)}", servers)[
            :PREFERRED_SERVERS
        ]
        candidates = [
            self._candidate(program, name, preferred, now) for name in sorted(servers)
        ]
        chosen = self._router.choose(call, candidates).server
        self._views.setdefault(chosen, _ServerView()).sent_since += 1
        return CallTarget(chosen, servers[chosen], target)

    def _candidate(
        self, program: Program, server: str, preferred: list[str], now: float
    ) -> Candidate:
        """Describe a server to the router.

        For a first call, the estimate is what other programs with the same prefix had
        cached on the server. Until this process has seen such a program, the servers
        that all processes prefer for the prefix are assumed to have it cached.
        """
        candidate = self._candidate_load(server, now)
        if program.context_tokens == 0:
            cached = self._prefix_tokens.get((_prefix_hash(program), server))
            if cached is None and server in preferred:
                cached = self._service_prefix_tokens.get(program.start.service, 0)
            return candidate._replace(cached_tokens=cached or 0)
        if server == program.last_server:
            return candidate._replace(cached_tokens=program.context_tokens)
        return candidate

    def record_result(self, program: Program, result: CallResult, now: float) -> None:
        """Record the load and the cached tokens that a result reports."""
        view = self._views.setdefault(result.server, _ServerView())
        view.load = result.load
        view.load_at = now
        # The report dates from the end of the call and includes later calls that are
        # still running. Counting them again would overestimate the load.
        view.sent_since = 0
        if result.status == "ok" and program.call is not None:
            _record_speed(view, result, now - program.call.intended_at)
        if program.context_tokens == 0 and result.status == "ok":
            self._record_prefix(program, result)

    def _record_prefix(self, program: Program, result: CallResult) -> None:
        service = program.start.service
        previous = self._service_prefix_tokens.get(service, 0)
        self._service_prefix_tokens[service] = max(previous, result.cached_tokens)
        # After this call the server has at least the shared prefix cached.
        tokens = max(result.cached_tokens, self._service_prefix_tokens[service])
        key = (_prefix_hash(program), result.server)
        self._prefix_tokens.pop(key, None)
        self._prefix_tokens[key] = tokens
        if len(self._prefix_tokens) > MAX_PREFIXES:
            del self._prefix_tokens[next(iter(self._prefix_tokens))]


def _record_speed(view: _ServerView, result: CallResult, elapsed_s: float) -> None:
    """Update the moving averages of the time per call and per computed token."""
    if result.completion_tokens == 0:
        return
    computed = result.prompt_tokens - result.cached_tokens
    work = result.completion_tokens + computed / PREFILL_PER_DECODE
    token_s = elapsed_s / work
    weight = SPEED_WEIGHT if view.token_s > 0 else 1.0
    view.token_s += weight * (token_s - view.token_s)
    view.call_s += weight * (elapsed_s - view.call_s)


def _prefix_hash(program: Program) -> int:
    """Return a hash of the prompt's start; equal hashes share a cached prefix."""
    return hash64("prefix", program.start.prompt[:PREFIX_CHARS])
