"""Simulation of an engine with continuous batching and a prefix cache.

The owner calls `step` in real time (the HTTP stand-in) or in virtual time (the load
tool).  Each step computes prompts in order of priority and arrival.  Every request
whose prompt is computed gains output tokens.  Decoding slows down as the batch fills,
and further while a prompt is being computed, because both share the accelerator.  The
cache stores prompt prefixes as chains of blocks in limited memory and evicts the least
recently used blocks.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final, NamedTuple

# Fraction by which each further request of a batch slows decoding.
BATCH_SLOWDOWN: Final = 0.05
# Fraction of the decoding speed while a prompt is being computed.
PREFILL_DECODE_FRACTION: Final = 0.4


class EngineSpeed(NamedTuple):
    """Speed and capacity of an engine.

    Attributes
    ----------
    prefill_tokens_s : float
        Prompt tokens computed per second, for all requests together.
    decode_tokens_s : float
        Output tokens per second of a request that runs alone.
    cache_tokens : int
        Capacity of the prefix cache.
    batch : int
        Maximum number of requests that run concurrently.
    """

    prefill_tokens_s: float = 8_000.0
    decode_tokens_s: float = 40.0
    cache_tokens: int = 200_000
    batch: int = 8


class Block(NamedTuple):
    """Part of a prompt: hash of the prompt up to its end, and length in tokens."""

    key: str
    tokens: int


class Request:
    """A request in the engine.

    Attributes
    ----------
    cached_tokens : int
        Prompt tokens found in the prefix cache at admission.
    uncomputed_tokens : float
        Prompt tokens still to compute.
    produced_tokens : float
        Output tokens produced so far.
    """

    def __init__(
        self,
        request_id: str,
        program: str,
        blocks: tuple[Block, ...],
        output_tokens: int,
        priority: int,
    ) -> None:
        self.request_id = request_id
        self.program = program
        self.blocks = blocks
        self.output_tokens = output_tokens
        self.priority = priority
        self.prompt_tokens = sum(block.tokens for block in blocks)
        self.cached_tokens = 0
        self.uncomputed_tokens = 0.0
        self.produced_tokens = 0.0

    @property
    def is_done(self) -> bool:
        """Whether all output is produced."""
        return self.produced_tokens >= self.output_tokens


class PrefillStats:
    """Counts prompt tokens that are recomputed although an engine has computed them.

    Attributes
    ----------
    prompt_tokens : int
        Tokens of all admitted prompts.
    wasted_tokens : int
        Those that were computed although an engine had computed them before.
    """

    def __init__(self) -> None:
        self.prompt_tokens = 0
        self.wasted_tokens = 0
        self._computed: set[str] = set()

    def admit(self, request: Request) -> None:
        """Count a request; its `cached_tokens` must be set."""
        self.prompt_tokens += request.prompt_tokens
        position = 0
        for block in request.blocks:
            position += block.tokens
            if position > request.cached_tokens and block.key in self._computed:
                self.wasted_tokens += block.tokens
            self._computed.add(block.key)


class SimulatedEngine:
    """Batches requests and caches prompt prefixes.

    Parameters
    ----------
    speed : EngineSpeed
        Size and speed.
    prefill_stats : PrefillStats or None
        Counters that the engines of a deployment share.
    """

    def __init__(
        self, speed: EngineSpeed, prefill_stats: PrefillStats | None = None
    ) -> None:
        self.speed = speed
        self.prefill_stats = prefill_stats or PrefillStats()
        self.waiting: list[Request] = []
        self.running: list[Request] = []
        self.computed_tokens = 0
        self.slow_factor = 1.0
        self._cache: OrderedDict[str, Block] = OrderedDict()
        self._programs_by_block: dict[str, set[str]] = {}
        self._cached_tokens = 0

    @property
    def cached_tokens(self) -> int:
        """Tokens in the prefix cache."""
        return self._cached_tokens

    def submit(self, request: Request) -> None:
        """Queue a request."""
        self.waiting.append(request)

    def cancel(self, request_id: str) -> None:
        """Remove a request from the queue or the batch."""
        self.waiting = [r for r in self.waiting if r.request_id != request_id]
        self.running = [r for r in self.running if r.request_id != request_id]

    def step(self, dt_s: float) -> list[Request]:
        """Advance by ``dt_s`` seconds; return the requests that are done."""
        dt_s /= self.slow_factor
        self._admit()
        self._prefill(dt_s)
        self._decode(dt_s)
        done = [r for r in self.running if r.uncomputed_tokens <= 0 and r.is_done]
        for request in done:
            self.running.remove(request)
            self._cache_request(request)
        return done

    def _admit(self) -> None:
        # The sort is stable: requests of equal priority stay in order of arrival.
        self.waiting.sort(key=lambda r: -r.priority)
        while self.waiting and len(self.running) < self.speed.batch:
            request = self.waiting.pop(0)
            request.cached_tokens = self._match_prefix(request)
            self.prefill_stats.admit(request)
            request.uncomputed_tokens = float(
                request.prompt_tokens - request.cached_tokens
            )
            self.computed_tokens += request.prompt_tokens - request.cached_tokens
            self.running.append(request)

    def _prefill(self, dt_s: float) -> None:
        budget = dt_s * self.speed.prefill_tokens_s
        for request in self.running:
            if request.uncomputed_tokens > 0:
                step_tokens = min(budget, request.uncomputed_tokens)
                request.uncomputed_tokens -= step_tokens
                budget -= step_tokens
            if budget <= 0:
                return

    def _decode(self, dt_s: float) -> None:
        slowdown = 1.0 + BATCH_SLOWDOWN * (len(self.running) - 1)
        if any(request.uncomputed_tokens > 0 for request in self.running):
            slowdown /= PREFILL_DECODE_FRACTION
        gained_tokens = dt_s * self.speed.decode_tokens_s / slowdown
        for request in self.running:
            if request.uncomputed_tokens <= 0:
                request.produced_tokens = min(
                    request.output_tokens, request.produced_tokens + gained_tokens
                )

    # Cache

    def _match_prefix(self, request: Request) -> int:
        """Return the tokens of the longest cached prefix and mark it recently used."""
        cached_tokens = 0
        matched_keys = []
        for block in request.blocks:
            if block.key not in self._cache:
                break
            cached_tokens += block.tokens
            matched_keys.append(block.key)
        for key in reversed(matched_keys):
            self._cache.move_to_end(key)
            self._programs_by_block[key].add(request.program)
        return cached_tokens

    def _cache_request(self, request: Request) -> None:
        for block in reversed(request.blocks):
            if block.key in self._cache:
                self._cache.move_to_end(block.key)
            else:
                self._cache[block.key] = block
                self._cached_tokens += block.tokens
            self._programs_by_block.setdefault(block.key, set()).add(request.program)
        while self._cached_tokens > self.speed.cache_tokens:
            key, block = self._cache.popitem(last=False)
            self._cached_tokens -= block.tokens
            del self._programs_by_block[key]

    def programs(self) -> list[str]:
        """Return the programs that have used cached blocks."""
        return sorted(
            {name for programs in self._programs_by_block.values() for name in programs}
        )

    def release(self, program: str) -> None:
        """Remove the blocks that only this program uses.

        Blocks marked as shared are removed only by eviction.
        """
        for key, programs in list(self._programs_by_block.items()):
            if program not in programs:
                continue
            programs.discard(program)
            if not programs and not key.startswith("shared"):
                block = self._cache.pop(key)
                self._cached_tokens -= block.tokens
                del self._programs_by_block[key]
