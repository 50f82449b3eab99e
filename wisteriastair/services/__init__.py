"""The plain services and tool services behind the gates."""
