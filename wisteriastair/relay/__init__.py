"""Relays: entry instances that pass callers' requests on to backend servers."""
