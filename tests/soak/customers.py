"""The customers of a soak: two that ask as usual, and one that floods."""

from __future__ import annotations

from typing import Final
from zlib import crc32

USUAL: Final = ("one", "two")
FLOOD: Final = "flood"
KEYS: Final = {name: f"key-of-{name}" for name in (*USUAL, FLOOD)}
# Nobody holds it.
STRANGE_KEY: Final = "key-of-nobody"
RATE_PER_S: Final = 5
BURST: Final = 5
# How quotas are judged, as the settings of the processes say.
WINDOW_S: Final = 5.0
OVER: Final = 0.1
SLACK: Final = 20
MAX_IN_A_WINDOW: Final = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVER) + SLACK


def customer_of(name: str) -> str:
    """Return the customer that a caller's program or call belongs to."""
    return USUAL[crc32(name.encode()) % len(USUAL)]


def tenants() -> list[dict[str, object]]:
    """Return the customers as the configuration lists them."""
    listed: list[dict[str, object]] = [
        {"name": name, "apiKeys": [key]} for name, key in KEYS.items()
    ]
    listed[-1] |= {"ratePerS": RATE_PER_S, "burst": BURST}
    return listed
