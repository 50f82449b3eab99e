"""Runs soaks and fault runs in which processes of two builds work together.

``python -m tests.two_builds OLD NEW --mix upgrade --seed 1 --count 3``

OLD and NEW are checkouts whose requirements the running interpreter has.  A renaming or
a rolling release must not change what one build writes and the other reads: messages,
keepers' disks, the slot table and the configuration.  The checks are those of
`tests.soak.run` and of ``wisteriastair faults``.
"""

from __future__ import annotations

import argparse
import os
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Final
from unittest import mock

import anyio

from tests.soak import run
from tests.soak.world import SoakDeployment
from wisteriastair.standins import faults
from wisteriastair.standins.deployment import Deployment

# Build of a process by the number of its start: 0 is OLD, 1 is NEW.  A process takes
# over the disk and the address of its previous start.
MIXES: Final[dict[str, tuple[int, int]]] = {
    "upgrade": (0, 1),
    "rollback": (1, 0),
}
# Build of the storing processes (keepers, side processes) and of the others.
ROLE_MIXES: Final[dict[str, tuple[int, int]]] = {
    "old-storage": (0, 1),
    "new-storage": (1, 0),
}
STORING_ROLES: Final = ("keeper", "side")
FAULT_PROGRAMS: Final = 40


class BuildSelector:
    """Selects the build of the next process and counts the starts of each build."""

    def __init__(self, builds: tuple[Path, Path], mix: str) -> None:
        self.starts: Counter[str] = Counter()
        self._builds = builds
        self._mix = mix
        self._starts_of: Counter[str] = Counter()

    def select(self, name: str, role: str) -> None:
        """Set the environment such that the next process runs the selected build."""
        number = self._starts_of[name]
        self._starts_of[name] += 1
        if self._mix in ROLE_MIXES:
            build = ROLE_MIXES[self._mix][role not in STORING_ROLES]
        elif self._mix == "alternate":
            build = (number + sum(name.encode())) % 2
        else:
            build = MIXES[self._mix][min(number, 1)]
        self.starts[f"{role} {('old', 'new')[build]}"] += 1
        os.environ["PYTHONPATH"] = str(self._builds[build])

    def soak(self, seed: int, stops: bool) -> list[str]:
        """Run one soak of relays and keepers; return the violations."""
        selector = self

        class MixedSoak(SoakDeployment):
            def start(self, name: str) -> None:
                if name not in self._processes:
                    selector.select(name, self.machines[name].role)
                    super().start(name)

        folder = Path(tempfile.mkdtemp(prefix=f"builds-{self._mix}-{seed}-"))
        with mock.patch.object(run, "SoakDeployment", MixedSoak):
            result = anyio.run(run.soak, seed, folder, None, stops)
        print(f"  {', '.join(result.faults)}; answers {result.status_counts}; {folder}")
        return result.violations

    def run_faults(self, seed: int) -> list[str]:
        """Run programs on entries and side processes under faults."""
        selector = self

        class MixedDeployment(Deployment):
            def _spawn(
                self, name: str, kind: str, args: list[str], address: str, http: str
            ) -> None:
                selector.select(name, kind)
                super()._spawn(name, kind, args, address, http)

        with mock.patch.object(faults, "Deployment", MixedDeployment):
            status = faults.faults(seed=seed, programs=FAULT_PROGRAMS)
        return [f"fault run ended with {status}"] if status else []


def main() -> int:
    """Run the seeds that the command line asks for."""
    parser = argparse.ArgumentParser(description="two builds in one deployment")
    parser.add_argument("old", type=Path, help="checkout of one build")
    parser.add_argument("new", type=Path, help="checkout of the other build")
    mixes = (*MIXES, *ROLE_MIXES, "alternate")
    parser.add_argument("--mix", choices=mixes, default="alternate")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--stops", action="store_true", help="planned stops of relays")
    parser.add_argument("--faults", action="store_true", help="entries and sides")
    args = parser.parse_args()
    builds = (args.old.resolve(), args.new.resolve())
    # The interpreter imports from the working directory before PYTHONPATH.
    os.chdir(tempfile.mkdtemp(prefix="builds-"))
    failed = 0
    for seed in range(args.seed, args.seed + args.count):
        selector = BuildSelector(builds, args.mix)
        if args.faults:
            violations = selector.run_faults(seed)
        else:
            violations = selector.soak(seed, args.stops)
        starts = ", ".join(f"{k}: {n}" for k, n in sorted(selector.starts.items()))
        print(f"{args.mix} seed {seed}: {starts}", *violations, sep="\n  ", flush=True)
        failed += bool(violations)
    print(f"{args.count} seeds, {failed} with a violation")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
