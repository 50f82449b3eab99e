"""Tests of the transport between our processes."""
