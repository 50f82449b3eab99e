"""Customers: who holds which key, how urgent they are, and how much they may ask.

A key is known here by its digest only, so that no log, message or file can give it
away.  One dictionary look-up by digest finds its customer: it takes as long with ten
customers as with ten thousand, and as long for a key that nobody holds.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import sha256
from typing import NamedTuple


class Quota(NamedTuple):
    """What a customer may ask of all relays together.

    Attributes
    ----------
    rate_per_s : float
        Requests a second.
    burst : float
        Requests on top of that, at once.
    """

    rate_per_s: float
    burst: float


class Customer(NamedTuple):
    """A customer as the configuration names it.

    Attributes
    ----------
    rank : int or None
        Urgency of its requests, 0 first; None where the route's own counts.
    quota : Quota or None
        None for no limit.
    """

    name: str
    rank: int | None
    quota: Quota | None


class CustomerProblem(NamedTuple):
    """A part of the configuration of a customer that makes no sense."""

    customer: str
    field: str
    reason: str


class Customers:
    """The customers of one version of the configuration.

    Parameters
    ----------
    holders : iterable of tuple
        Customers and the digests of their keys.

    Attributes
    ----------
    by_name : dict of str to Customer
        All customers.
    problems : tuple of CustomerProblem
        What could not be used, for the log.
    """

    def __init__(
        self,
        holders: Iterable[tuple[Customer, list[str]]] = (),
        problems: Iterable[CustomerProblem] = (),
    ) -> None:
        self.by_name: dict[str, Customer] = {}
        self._by_digest: dict[str, Customer] = {}
        found = list(problems)
        shared: set[str] = set()
        for customer, digests in holders:
            self.by_name[customer.name] = customer
            for digest in digests:
                holder = self._by_digest.setdefault(digest, customer)
                if holder.name != customer.name:
                    # A request could run in the name of the wrong one: neither has it.
                    shared.add(digest)
                    reason = f"a key is held by {holder.name} too"
                    found.append(CustomerProblem(customer.name, "keys", reason))
        for digest in shared:
            del self._by_digest[digest]
        self.problems = tuple(found)

    def find_by_digest(self, digest: str) -> Customer | None:
        """Return the customer that holds a key, or None."""
        return self._by_digest.get(digest)


def digest_key(key: bytes) -> str:
    """Digest by which a key is known; keys are drawn, so it needs no salt."""
    return sha256(key).hexdigest()


def scoped_name(customer: str, name: str) -> str:
    """Name of a customer's program or turn among those of all customers.

    Callers choose these names.  Two customers that choose the same one must not meet
    in one account, nor may one go on from a turn of the other's.  Header values hold no
    line feed, so two scoped names are equal only if both their parts are.
    """
    return f"{customer}\n{name}" if customer and name else name
