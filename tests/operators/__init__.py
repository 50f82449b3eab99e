"""Tests of the package for operators."""
