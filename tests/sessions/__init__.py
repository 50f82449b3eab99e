"""Complete sessions as callers and operators see them."""
