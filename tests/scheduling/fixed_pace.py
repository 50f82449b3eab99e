"""A server's pace with a given sample, for tests of what relays report."""

from __future__ import annotations

from wisteriastair.scheduling.pace import ServerPace


class FixedPace(ServerPace):
    """A pace whose median sample is fixed."""

    def __init__(self, sampled_ms: float) -> None:
        super().__init__()
        self._fixed_ms = sampled_ms

    @property
    def sampled_ms(self) -> float:
        """The given sample."""
        return self._fixed_ms
