"""Clients of the platform: store, key-value service, instance list and settings."""
