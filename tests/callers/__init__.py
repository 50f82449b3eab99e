"""Tests of the package for callers."""
