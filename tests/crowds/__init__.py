"""Crowds of clients that keep no limit, against processes of the system."""
