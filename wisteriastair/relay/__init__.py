"""Relays: entry instances that forward callers' requests to backend servers."""
