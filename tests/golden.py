"""Golden cases in plain text files.

A file contains cases: ``[case TITLE]``, the input lines, ``[out]`` and the expected
output.  With the environment variable ``UPDATE_GOLDEN=1`` the expected output is
rewritten; review the change as a diff.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple


class Case(NamedTuple):
    """One golden case."""

    title: str
    input_text: str
    expected: str


def read_cases(path: Path) -> list[Case]:
    """Read all cases of a file."""
    cases = []
    for section in path.read_text("utf-8").split("[case ")[1:]:
        title, _, rest = section.partition("]\n")
        input_text, _, expected = rest.partition("[out]\n")
        cases.append(Case(title, input_text.strip("\n"), expected.strip("\n")))
    return cases


def write_cases(path: Path, cases: list[Case]) -> None:
    """Write all cases of a file."""
    parts = [f"[case {c.title}]\n{c.input_text}\n[out]\n{c.expected}\n" for c in cases]
    path.write_text("\n".join(parts), "utf-8")


def check_cases(path: Path, run: Callable[[str], str]) -> None:
    """Run every case of a file and compare the outputs, or rewrite them."""
    cases = read_cases(path)
    actual_cases = [
        case._replace(expected=run(case.input_text).strip("\n")) for case in cases
    ]
    if os.environ.get("UPDATE_GOLDEN") == "1":
        write_cases(path, actual_cases)
        return
    for case, actual in zip(cases, actual_cases, strict=True):
        assert actual.expected == case.expected, f"{path.name}: {case.title}"
