"""Tests of the transport between the system's processes."""
