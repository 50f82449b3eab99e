"""The operators' language: golden parses and errors."""

from __future__ import annotations

from pathlib import Path

from tests.golden import check_cases
from wisteriastair.errors import Failure
from wisteriastair.operators.language import parse

GOLDEN = Path(__file__).parent / "golden" / "language.txt"


def parse_and_format(text: str) -> str:
    command = parse(text)
    if isinstance(command, Failure):
        return f"{' ' * (command.column - 1)}^\n{command.code}: {command.detail}"
    return repr(command)


def test_golden_language() -> None:
    check_cases(GOLDEN, parse_and_format)
