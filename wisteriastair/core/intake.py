"""When a new program may begin: as soon as the engines have memory for it.

The load pattern: a burst brings new programs faster than engines finish turns.  Running
requests fill the engines' memory, and what is cached there for programs that pause at
their tools yields.  Each of their turns then reads its whole prompt again, which slows
all that run, so that still more run at once: six seconds of twice the load were worked
off for twenty seconds after.

So the first turn of a program waits while running requests take more than a share of
the engines' memory.  Turns of programs under way never wait here: they free what they
hold.  A first turn waits for a short time at most and then goes on whatever the load,
so that no wrong estimate stops a service.

In a burst on 27 relays and 28 engines of 131,000 tokens (one seed) this took the prompt
tokens read from 17.0 to 10.0 million and the programs' worth from 0.75 to 0.99 of all.
Engines that have memory to spare are not affected: the share is not reached.
"""

from __future__ import annotations

from typing import Final

from .fleet import ServerState

# Share of the engines' memory that running requests may take when a program begins.
# The rest holds what programs at their tools come back to.  At 0.45 the same burst gave
# the same within noise; a smaller share keeps callers waiting earlier.
MEMORY_SHARE: Final = 0.6
# Longest wait of a first turn, in seconds, and share of the time that its caller still
# waits, whichever is shorter.  2.5 s gave the same in that burst.
WAIT_MOST_S: Final = 1.0
WAIT_SHARE: Final = 1 / 3
# How often a waiting turn looks again, in seconds: servers report with every answer.
LOOK_AGAIN_S: Final = 0.05
# Share of the servers that must have reported their load a short while ago.
REPORTED_SHARE: Final = 1 / 3
# Weight of a new prompt in the running mean of their sizes.
SIZE_GAIN: Final = 0.02


class Intake:
    """Decides whether new programs may begin at one service."""

    def __init__(self) -> None:
        self._mean_tokens = 0.0

    def note(self, tokens: int) -> None:
        """Note the size of a prompt on its way to the service."""
        if self._mean_tokens == 0.0:
            self._mean_tokens = tokens
        self._mean_tokens += SIZE_GAIN * (tokens - self._mean_tokens)

    def has_room(
        self, servers: list[ServerState], memory_tokens: int, now: float
    ) -> bool:
        """Whether a new program may begin.

        Parameters
        ----------
        servers : list of ServerState
            Those that may get work.
        memory_tokens : int
            Tokens that fit into the memory of one engine; 0 if that is not known.
        """
        reports = [state.running(now) for state in servers]
        running = [count for count in reports if count is not None]
        if memory_tokens <= 0 or len(running) < max(1, REPORTED_SHARE * len(servers)):
            return True
        mean_running = sum(running) / len(running)
        return mean_running * self._mean_tokens < MEMORY_SHARE * memory_tokens


def longest_wait_s(left_s: float) -> float:
    """Seconds for which a first turn may wait.

    Parameters
    ----------
    left_s : float
        Seconds until the answer must be complete.
    """
    return max(0.0, min(WAIT_MOST_S, WAIT_SHARE * left_s))
