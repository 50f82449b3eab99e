"""Customers of a soak: two with ordinary load, and one that exceeds its quota."""

from __future__ import annotations

from typing import Final
from zlib import crc32

REGULAR_CUSTOMERS: Final = ("one", "two")
FLOODING_CUSTOMER: Final = "flood"
API_KEYS: Final = {
    name: f"key-of-{name}" for name in (*REGULAR_CUSTOMERS, FLOODING_CUSTOMER)
}
# A key of no customer.
UNKNOWN_KEY: Final = "key-of-nobody"
RATE_PER_S: Final = 5
BURST: Final = 5
# The quota tolerances of the settings of the processes.
WINDOW_S: Final = 5.0
EXCESS_FRACTION: Final = 0.1
SLACK_REQUESTS: Final = 20
MAX_IN_A_WINDOW: Final = (RATE_PER_S * WINDOW_S + BURST) * (
    1 + EXCESS_FRACTION
) + SLACK_REQUESTS


def assign_customer(name: str) -> str:
    """Return the customer of a program or call, by its name."""
    return REGULAR_CUSTOMERS[crc32(name.encode()) % len(REGULAR_CUSTOMERS)]


def tenants() -> list[dict[str, object]]:
    """Return the customers in the format of the configuration."""
    listed: list[dict[str, object]] = [
        {"name": name, "apiKeys": [key]} for name, key in API_KEYS.items()
    ]
    listed[-1] |= {"ratePerS": RATE_PER_S, "burst": BURST}
    return listed
