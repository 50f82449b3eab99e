"""The daemons: thin shells around the deterministic core."""
