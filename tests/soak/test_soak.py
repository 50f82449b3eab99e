"""Soaks of seeds that have failed before, and faulty products to detect."""

from __future__ import annotations

from functools import partial
from pathlib import Path

import anyio
import pytest

from tests.soak.run import soak
from tests.soak.world import (
    ACCEPTS_UNTIL_END,
    ENDS_WITH_ITS_CALLERS,
    KEEPS_CRASHES_SECRET,
    SKIPS_LOG_REPLAY,
)


@pytest.mark.parametrize("seed", [1])
def test_no_guarantee_is_violated(seed: int, tmp_path: Path) -> None:
    """Faults of processes, disks and the store violate no guarantee.

    Processes are killed, frozen and wiped, the store is down, and its responses are
    lost.  Everything is served again at the end.
    """
    assert anyio.run(soak, seed, tmp_path).violations == []


def test_a_keeper_that_skips_log_replay_is_detected(tmp_path: Path) -> None:
    """Keepers restart without reading their logs, but with the ids of their disks.

    After all have been killed, callers that continue their programs get 404 for turns
    that were served completely.  The soak must report it.
    """
    for seed in range(100, 110):
        folder = tmp_path / str(seed)
        folder.mkdir()
        if anyio.run(soak, seed, folder, SKIPS_LOG_REPLAY).violations:
            return
    pytest.fail("ten seeds did not detect it")


def test_planned_stops_cut_no_request(tmp_path: Path) -> None:
    """Relays stop in series and overlapping, with kills, outages and other stops.

    Callers reuse their connections and continue to use stopping relays.  Each request
    that a server started before the end of a relay gets a complete response, and no
    relay has to be killed.
    """
    assert anyio.run(partial(soak, stops=True), 904, tmp_path).violations == []


def test_a_relay_that_accepts_requests_until_its_end_is_detected(
    tmp_path: Path,
) -> None:
    """Stopping relays accept requests until the end of their grace period.

    They cut the active requests when the stop ends by force.  The soak must report it;
    these seeds have detected the fault before.  On a busy machine a seed may excuse all
    cuts, because a process was waiting for a processor.
    """
    for seed in (951, 952, 954, 902, 953, 955):
        folder = tmp_path / str(seed)
        folder.mkdir()
        violations = anyio.run(
            partial(soak, stops=True), seed, folder, ACCEPTS_UNTIL_END
        ).violations
        if any(line.startswith("cut: ") for line in violations):
            return
    pytest.fail("six seeds did not detect it")


def test_a_relay_that_ends_with_its_callers_is_detected(tmp_path: Path) -> None:
    """A relay ends if the caller of a last response has left; it must be reported."""
    for seed in (3, 2, 4):
        folder = tmp_path / str(seed)
        folder.mkdir()
        violations = anyio.run(soak, seed, folder, ENDS_WITH_ITS_CALLERS).violations
        if any(line.startswith("ended: relay-") for line in violations):
            return
    pytest.fail("three seeds did not detect it")


@pytest.mark.parametrize("seed", [5000, 5002])
def test_a_request_crashes_no_more_servers_than_allowed(
    seed: int, tmp_path: Path
) -> None:
    """Callers repeat requests that crash servers, beside all faults of a soak.

    5000: a keeper that was the only one known at the start freezes.  5002: a relay
    restarts while a request is quarantined.
    """
    result = anyio.run(partial(soak, crashes=True), seed, tmp_path)
    assert result.violations == []
    assert result.crash_counts.crashes > 0


@pytest.mark.parametrize("seed", [53100, 53102])
def test_a_request_crashes_no_more_servers_if_it_shows_late(
    seed: int, tmp_path: Path
) -> None:
    """The evidence of a crash comes after the next attempt.

    53100: the entry of a silent server is removed while it has the request.  53102: a
    server that has failed answers others until it ends.
    """
    result = anyio.run(partial(soak, late_crashes=True), seed, tmp_path)
    assert result.violations == []
    assert result.crash_counts.crashes > 0


def test_a_relay_that_tells_nobody_of_crashes_is_detected(tmp_path: Path) -> None:
    """Attempts at different relays add up; the soak must report it."""
    for seed in range(200, 203):
        folder = tmp_path / str(seed)
        folder.mkdir()
        violations = anyio.run(
            partial(soak, crashes=True), seed, folder, KEEPS_CRASHES_SECRET
        ).violations
        if any(line.startswith("crashes: ") for line in violations):
            return
    pytest.fail("three seeds did not detect it")
