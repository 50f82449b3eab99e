"""Tests of the relays' decisions."""
