"""Scripted output of the stand-in model.

A prompt may contain a line ``plan: STEP | STEP | ...``.  A step is a model call that
requests actions: ``tool NAME ARGUMENT`` or ``spawn PROMPT``, several joined by ``&``.
Each step also outputs ``stepwords=N`` words.  After the last step the model outputs the
final answer of ``words=N`` words.  The words are numbered and derived from the prompt,
so a checker can verify from an answer alone that it is complete, in order and belongs
to the caller.
"""

from __future__ import annotations

import re
from hashlib import blake2b
from typing import Final, NamedTuple

PLAN_PATTERN: Final = re.compile(r"^plan:(.*)$", re.MULTILINE)
WORDS_PATTERN: Final = re.compile(r"(?<!step)words=(\d+)")
DEFAULT_WORDS: Final = 12
STEP_WORDS_PATTERN: Final = re.compile(r"stepwords=(\d+)")
DEFAULT_STEP_WORDS: Final = 6
BYTES_PER_TOKEN: Final = 4


class ScriptedOutput(NamedTuple):
    """Output of one model call: text, then actions as (name, argument)."""

    text: str
    actions: tuple[tuple[str, str], ...]


def prompt_tag(prompt: str) -> str:
    """Return a short hash of a prompt; every word of its answers contains it."""
    return blake2b(prompt.encode(), digest_size=3).hexdigest()


def numbered_words(prompt: str, turn: int, count: int) -> str:
    """Return the words of one output."""
    tag = prompt_tag(prompt)
    return " ".join(f"{tag}:{turn}.{n}" for n in range(count)) + " ."


def plan_steps(prompt: str) -> list[str]:
    """Return the steps of a prompt's plan."""
    match = PLAN_PATTERN.search(prompt)
    return [step.strip() for step in match.group(1).split("|")] if match else []


def scripted_output(prompt: str, turn: int) -> ScriptedOutput:
    """Return the output of model call number ``turn`` (from 0) of a program."""
    steps = plan_steps(prompt)
    if turn < len(steps):
        actions = tuple(_parse_action(part.strip()) for part in steps[turn].split("&"))
        count = _read_number(STEP_WORDS_PATTERN, prompt, DEFAULT_STEP_WORDS)
        return ScriptedOutput(numbered_words(prompt, turn, count), actions)
    count = _read_number(WORDS_PATTERN, prompt, DEFAULT_WORDS)
    return ScriptedOutput(numbered_words(prompt, turn, count), ())


def _read_number(pattern: re.Pattern[str], prompt: str, default: int) -> int:
    match = pattern.search(prompt)
    return int(match.group(1)) if match else default


def final_answer(prompt: str) -> str:
    """Return the complete answer of a program with this prompt."""
    return scripted_output(prompt, len(plan_steps(prompt))).text


def _parse_action(text: str) -> tuple[str, str]:
    kind, _, rest = text.partition(" ")
    if kind == "spawn":
        return ("spawn", rest)
    name, _, argument = rest.partition(" ")
    return (name, argument)


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text in the stand-in engine."""
    return len(text.encode()) // BYTES_PER_TOKEN + 1
