"""A small model of a continuously batching engine with a prefix cache.

Time advances in steps that the owner takes, in real time (the HTTP stand-in) or in
virtual time (the load tool).  Each step computes prompts, in order of priority and
arrival; every request whose prompt is computed gains output tokens, the slower the
fuller the batch, and slower still while a prompt is being computed, since both share
the accelerator.  The cache holds prompt prefixes as a chain of blocks in
limited memory and evicts the least recently used.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final, NamedTuple

BATCH_SLOWDOWN: Final = 0.05
# Share of the decoding speed that is left while a prompt is being computed.
DECODE_SHARE: Final = 0.4


class EngineSpeed(NamedTuple):
    """How fast and how large an engine is.

    Attributes
    ----------
    prefill_tokens_s : float
        Prompt tokens computed a second, all requests together.
    decode_tokens_s : float
        Output tokens a second of a request that runs alone.
    cache_tokens : int
        Prompt and output tokens that the prefix cache holds.
    batch : int
        Requests that run at once.
    """

    prefill_tokens_s: float = 8_000.0
    decode_tokens_s: float = 40.0
    cache_tokens: int = 200_000
    batch: int = 8


class Block(NamedTuple):
    """A piece of a prompt: its chained key and its length in tokens."""

    key: str
    tokens: int


class Request:
    """A request in the engine."""

    def __init__(
        self,
        name: str,
        program: str,
        blocks: tuple[Block, ...],
        output: int,
        priority: int,
    ) -> None:
        self.name = name
        self.program = program
        self.blocks = blocks
        self.output = output
        self.priority = priority
        self.prompt = sum(block.tokens for block in blocks)
        self.cached = 0
        self.to_compute = 0.0
        self.produced = 0.0

    @property
    def done(self) -> bool:
        """Whether all output is produced."""
        return self.produced >= self.output


class Ledger:
    """What has been computed on any engine, to tell what is computed again.

    Attributes
    ----------
    prompt_tokens : int
        Tokens of all prompts admitted.
    wasted_tokens : int
        Of these, tokens computed although some engine had computed them before.
    """

    def __init__(self) -> None:
        self.prompt_tokens = 0
        self.wasted_tokens = 0
        self._computed: set[str] = set()

    def admit(self, request: Request) -> None:
        """Count a request whose cached part is known."""
        self.prompt_tokens += request.prompt
        position = 0
        for block in request.blocks:
            position += block.tokens
            if position > request.cached and block.key in self._computed:
                self.wasted_tokens += block.tokens
            self._computed.add(block.key)


class EngineModel:
    """The engine.

    Parameters
    ----------
    speed : EngineSpeed
        Size and speed.
    ledger : Ledger or None
        Shared by the engines of a deployment.
    """

    def __init__(self, speed: EngineSpeed, ledger: Ledger | None = None) -> None:
        self.speed = speed
        self.ledger = ledger or Ledger()
        self.waiting: list[Request] = []
        self.running: list[Request] = []
        self.computed_tokens = 0
        self.slow_factor = 1.0
        self._cache: OrderedDict[str, Block] = OrderedDict()
        self._owners: dict[str, set[str]] = {}
        self._cached_tokens = 0

    @property
    def cached_tokens(self) -> int:
        """Tokens in the prefix cache."""
        return self._cached_tokens

    def submit(self, request: Request) -> None:
        """Queue a request."""
        self.waiting.append(request)

    def cancel(self, name: str) -> None:
        """Drop a request."""
        self.waiting = [r for r in self.waiting if r.name != name]
        self.running = [r for r in self.running if r.name != name]

    def step(self, dt: float) -> list[Request]:
        """Advance by ``dt`` seconds; return the requests that are done."""
        dt /= self.slow_factor
        self._admit()
        self._prefill(dt)
        self._decode(dt)
        done = [r for r in self.running if r.to_compute <= 0 and r.done]
        for request in done:
            self.running.remove(request)
            self._remember(request)
        return done

    def _admit(self) -> None:
        self.waiting.sort(key=lambda r: -r.priority)
        while self.waiting and len(self.running) < self.speed.batch:
            request = self.waiting.pop(0)
            request.cached = self._lookup(request)
            self.ledger.admit(request)
            request.to_compute = float(request.prompt - request.cached)
            self.computed_tokens += request.prompt - request.cached
            self.running.append(request)

    def _prefill(self, dt: float) -> None:
        budget = dt * self.speed.prefill_tokens_s
        for request in self.running:
            if request.to_compute > 0:
                share = min(budget, request.to_compute)
                request.to_compute -= share
                budget -= share
            if budget <= 0:
                return

    def _decode(self, dt: float) -> None:
        slowdown = 1.0 + BATCH_SLOWDOWN * (len(self.running) - 1)
        if any(request.to_compute > 0 for request in self.running):
            slowdown /= DECODE_SHARE
        gain = dt * self.speed.decode_tokens_s / slowdown
        for request in self.running:
            if request.to_compute <= 0:
                request.produced = min(request.output, request.produced + gain)

    # Cache

    def _lookup(self, request: Request) -> int:
        """Tokens of the longest cached prefix, which becomes recently used."""
        cached = 0
        found = []
        for block in request.blocks:
            if block.key not in self._cache:
                break
            cached += block.tokens
            found.append(block.key)
        for key in reversed(found):
            self._cache.move_to_end(key)
            self._owners[key].add(request.program)
        return cached

    def _remember(self, request: Request) -> None:
        for block in reversed(request.blocks):
            if block.key in self._cache:
                self._cache.move_to_end(block.key)
            else:
                self._cache[block.key] = block
                self._cached_tokens += block.tokens
            self._owners.setdefault(block.key, set()).add(request.program)
        while self._cached_tokens > self.speed.cache_tokens:
            key, block = self._cache.popitem(last=False)
            self._cached_tokens -= block.tokens
            del self._owners[key]

    def programs(self) -> list[str]:
        """Programs for which something is held."""
        return sorted({name for owners in self._owners.values() for name in owners})

    def release(self, program: str) -> None:
        """Forget what only this program has used; shared prefixes stay cached.

        A prefix that several programs have used is nobody's in particular any more:
        it stays until it is evicted.
        """
        for key, owners in list(self._owners.items()):
            if program not in owners:
                continue
            owners.discard(program)
            if not owners and not key.startswith("shared"):
                block = self._cache.pop(key)
                self._cached_tokens -= block.tokens
                del self._owners[key]
