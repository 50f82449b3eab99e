"""Key lookup, and qualified names of programs and turns."""

from __future__ import annotations

from wisteriastair.core.customers import Customer, Customers, digest_key, scoped_name

ONE = Customer("one", None, None)
TWO = Customer("two", 0, None)


def test_customer_is_found_only_by_key_digest() -> None:
    customers = Customers([(ONE, [digest_key(b"k1"), digest_key(b"k2")]), (TWO, [])])
    assert customers.find_by_digest(digest_key(b"k2")) is ONE
    assert customers.find_by_digest(digest_key(b"k3")) is None
    assert customers.find_by_digest("k1") is None
    assert customers.find_by_digest("") is None


def test_a_key_of_two_customers_is_valid_for_neither() -> None:
    """Two customers are configured with the same key by mistake.

    Requests with the key could run as the wrong customer. The key must be valid for
    neither, their other keys must work, and the problem must name the customer.
    """
    shared, valid = digest_key(b"shared"), digest_key(b"own")
    customers = Customers([(ONE, [shared, valid]), (TWO, [shared])])
    assert customers.find_by_digest(shared) is None
    assert customers.find_by_digest(valid) is ONE
    assert [problem.customer for problem in customers.problems] == ["two"]


def test_names_of_two_customers_never_collide() -> None:
    assert scoped_name("a", "p") != scoped_name("b", "p")
    assert scoped_name("", "p") == "p"
    assert scoped_name("a", "") == "", "an empty name stays empty"
