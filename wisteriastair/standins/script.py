"""What the stand-in model says.

A prompt may contain a line ``plan: STEP | STEP | ...``.  A step is a model call that
asks for actions: ``tool NAME ARGUMENT`` or ``spawn PROMPT``, several joined by ``&``.
After the last step the model answers with ``words=N`` words; before it says
``stepwords=N`` words a step.  The words are numbered and derive from the prompt, so a
checker can tell from an answer alone whether it is whole, in order and the right
caller's.
"""

from __future__ import annotations

import re
from hashlib import blake2b
from typing import Final, NamedTuple

PLAN: Final = re.compile(r"^plan:(.*)$", re.MULTILINE)
WORDS: Final = re.compile(r"(?<!step)words=(\d+)")
DEFAULT_WORDS: Final = 12
STEP: Final = re.compile(r"stepwords=(\d+)")
STEP_WORDS: Final = 6
BYTES_PER_TOKEN: Final = 4


class Saying(NamedTuple):
    """Output of one model call: text, then actions as (name, argument)."""

    text: str
    actions: tuple[tuple[str, str], ...]


def tag_of(prompt: str) -> str:
    """Short tag of a prompt, carried by every word of its answers."""
    return blake2b(prompt.encode(), digest_size=3).hexdigest()


def numbered_words(prompt: str, turn: int, count: int) -> str:
    """Words of one output."""
    tag = tag_of(prompt)
    return " ".join(f"{tag}:{turn}.{n}" for n in range(count)) + " ."


def steps_of(prompt: str) -> list[str]:
    """Return the steps of a prompt's plan."""
    found = PLAN.search(prompt)
    return [step.strip() for step in found.group(1).split("|")] if found else []


def say(prompt: str, turn: int) -> Saying:
    """Output of the model's ``turn``-th call (from 0) of a program."""
    steps = steps_of(prompt)
    if turn < len(steps):
        actions = tuple(_action(part.strip()) for part in steps[turn].split("&"))
        count = _number(STEP, prompt, STEP_WORDS)
        return Saying(numbered_words(prompt, turn, count), actions)
    count = _number(WORDS, prompt, DEFAULT_WORDS)
    return Saying(numbered_words(prompt, turn, count), ())


def _number(pattern: re.Pattern[str], prompt: str, default: int) -> int:
    found = pattern.search(prompt)
    return int(found.group(1)) if found else default


def final_answer(prompt: str) -> str:
    """Return the whole answer of a program with this prompt."""
    return say(prompt, len(steps_of(prompt))).text


def _action(text: str) -> tuple[str, str]:
    kind, _, rest = text.partition(" ")
    if kind == "spawn":
        return ("spawn", rest)
    name, _, argument = rest.partition(" ")
    return (name, argument)


def count_tokens(text: str) -> int:
    """Tokens of a text as the stand-in engine counts them."""
    return len(text.encode()) // BYTES_PER_TOKEN + 1
