"""Message transport between the system's own processes."""
