"""Tests of the deterministic core."""
