"""Tests of the package for daemons."""
