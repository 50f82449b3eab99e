"""The model engines behind the gates."""
