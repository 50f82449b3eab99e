"""Keepers: instances with a disk that hold replicas of the ledger."""
