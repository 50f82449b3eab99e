"""Expected sizes of outputs."""

from __future__ import annotations

from wisteriastair.scheduling.outputsize import MIN_BYTES_PER_TOKEN, OutputSizes


def test_estimate_follows_the_longest_recent_outputs_of_a_route() -> None:
    """Load: a route whose outputs are 50 times as long as most, and then short ones."""
    sizes = OutputSizes()
    assert sizes.estimate("long", 100) == 100 * MIN_BYTES_PER_TOKEN
    for _ in range(5):
        sizes.record("long", 40_000, 100)
        sizes.record("long", 400, 100)
    assert 38_000 < sizes.estimate("long", 100) <= 40_000
    assert sizes.estimate("other", 100) == 100 * MIN_BYTES_PER_TOKEN
    for _ in range(250):
        sizes.record("long", 400, 100)
    assert sizes.estimate("long", 100) == 100 * MIN_BYTES_PER_TOKEN


def test_output_without_tokens_changes_nothing() -> None:
    sizes = OutputSizes()
    sizes.record("r", 1_000, 0)
    assert sizes.estimate("r", 10) == 10 * MIN_BYTES_PER_TOKEN
