"""Golden cases in plain text files: one titled case each.

A file holds cases ``[case TITLE]``, the input lines, ``[out]`` and the expected output.
With the environment variable ``UPDATE_GOLDEN=1`` the expected output is written anew;
the change is then reviewed as a diff.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple


class Case(NamedTuple):
    """One golden case."""

    title: str
    given: str
    expected: str


def read_cases(path: Path) -> list[Case]:
    """Read all cases of a file."""
    cases = []
    for part in path.read_text("utf-8").split("[case ")[1:]:
        title, _, rest = part.partition("]\n")
        given, _, expected = rest.partition("[out]\n")
        cases.append(Case(title, given.strip("\n"), expected.strip("\n")))
    return cases


def write_cases(path: Path, cases: list[Case]) -> None:
    """Write all cases of a file."""
    parts = [f"[case {c.title}]\n{c.given}\n[out]\n{c.expected}\n" for c in cases]
    path.write_text("\n".join(parts), "utf-8")


def check_cases(path: Path, run: Callable[[str], str]) -> None:
    """Run every case of a file and compare, or write the outputs anew."""
    cases = read_cases(path)
    found = [case._replace(expected=run(case.given).strip("\n")) for case in cases]
    if os.environ.get("UPDATE_GOLDEN") == "1":
        write_cases(path, found)
        return
    for case, now in zip(cases, found, strict=True):
        assert now.expected == case.expected, f"{path.name}: {case.title}"
