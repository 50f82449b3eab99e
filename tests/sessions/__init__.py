"""Whole sessions as callers and operators see them."""
