"""A fault soak: real processes, seeded faults, witnesses outside."""
