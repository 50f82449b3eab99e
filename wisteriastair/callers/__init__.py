"""The callers: their HTTP interface on an entry."""
