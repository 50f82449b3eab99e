"""From a step of a program to a call at a gate.

Knows which servers may take a call, what each is believed to have cached and how
loaded it is, and leaves the choice to the router.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from .config import Config, Service
from .hashing import hash64, rendezvous_order
from .peers import Peers
from .program import Program
from .routing import Call, Candidate, Router
from .wire import CallResult, ServerLoad

LOAD_MAX_AGE_S: Final = 10.0
PREFIX_CHARS: Final = 256
PREFERRED: Final = 2
SMOOTHING: Final = 0.2
MIN_COMPARED: Final = 3
SLOW_FACTOR: Final = 2.0
# Prompt tokens that an engine computes in the time of one output token, roughly.
PREFILL_PER_DECODE: Final = 200
MAX_PREFIXES: Final = 4_096


class CallTarget(NamedTuple):
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
        self.token_s = 0.0
        self.call_s = 0.0


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
        self._shared: dict[tuple[int, str], int] = {}
        self._shared_tokens: dict[str, int] = {}
        self._sequence = 0

    def choose_model_server(
        self,
        program: Program,
        service: Service,
        config: Config,
        avoid_server: str,
        now: float,
    ) -> CallTarget | None:
        """Choose a server for the next model call; None if there is none now."""
        for model in service.models:
            servers = self._servers(config, "model", model, avoid_server, now)
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
        """Choose a plain server for a tool call."""
        servers = self._servers(config, "plain", provider, avoid_server, now)
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
        extra_s = self._extra_s(view) if fresh else 0.0
        return Candidate(server, 0, load, view.sent_since, extra_s)

    def _extra_s(self, view: _ServerView) -> float:
        """Seconds by which a server has lately been slower than the middle one.

        A server that answers slowly need not have a long queue.  The penalty ends
        when its last report is old, so that it is tried again now and then.
        """
        known = sorted(v.token_s for v in self._views.values() if v.token_s > 0)
        if len(known) < MIN_COMPARED or view.token_s <= 0:
            return 0.0
        middle = known[len(known) // 2]
        if view.token_s < SLOW_FACTOR * middle:
            return 0.0
        return view.call_s * (1.0 - middle / view.token_s)

    def _servers(
        self, config: Config, kind: str, target: str, avoid_server: str, now: float
    ) -> dict[str, str]:
        """Active servers of a kind with the member id of their gate."""
        found: dict[str, str] = {}
        for server in config.servers.values():
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
                found[server.name] = member
        if len(found) > 1:
            found.pop(avoid_server, None)
        return found

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
        preferred = rendezvous_order(f"prefix {_prefix_of(program)}", servers)[
            :PREFERRED
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

        For a first call, what other programs with the same beginning had cached there
        is the estimate; until this process has seen one, the servers that all
        processes prefer for that beginning are taken to have it.
        """
        candidate = self._load_of(server, now)
        if program.context_tokens == 0:
            cached = self._shared.get((_prefix_of(program), server))
            if cached is None and server in preferred:
                cached = self._shared_tokens.get(program.start.service, 0)
            return candidate._replace(cached_tokens=cached or 0)
        if server == program.last_server:
            return candidate._replace(cached_tokens=program.context_tokens)
        return candidate

    def record_result(self, program: Program, result: CallResult, now: float) -> None:
        """Take a server's load and what it had cached from a result."""
        view = self._views.setdefault(result.server, _ServerView())
        view.load = result.load
        view.load_at = now
        # The report was made when the call ended; calls sent since then that are
        # still under way are in it, so counting them again would scare callers off.
        view.sent_since = 0
        if result.status == "ok" and program.call is not None:
            _learn_speed(view, result, now - program.call.intended_at)
        if program.context_tokens == 0 and result.status == "ok":
            self._learn_prefix(program, result)

    def _learn_prefix(self, program: Program, result: CallResult) -> None:
        service = program.start.service
        known = self._shared_tokens.get(service, 0)
        self._shared_tokens[service] = max(known, result.cached_tokens)
        # After this call the server has at least the shared beginning cached.
        tokens = max(result.cached_tokens, self._shared_tokens[service])
        key = (_prefix_of(program), result.server)
        self._shared.pop(key, None)
        self._shared[key] = tokens
        if len(self._shared) > MAX_PREFIXES:
            del self._shared[next(iter(self._shared))]


def _learn_speed(view: _ServerView, result: CallResult, taken_s: float) -> None:
    """Smooth the time of a call, whole and for each token that it computed."""
    if result.completion_tokens == 0:
        return
    computed = result.prompt_tokens - result.cached_tokens
    work = result.completion_tokens + computed / PREFILL_PER_DECODE
    token_s = taken_s / work
    share = SMOOTHING if view.token_s > 0 else 1.0
    view.token_s += share * (token_s - view.token_s)
    view.call_s += share * (taken_s - view.call_s)


def _prefix_of(program: Program) -> int:
    """Tell programs that begin alike, and so share a cached prefix, by a hash."""
    return hash64("prefix", program.start.prompt[:PREFIX_CHARS])
