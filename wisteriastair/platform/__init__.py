"""The platform: its key-value service and its instance list."""
