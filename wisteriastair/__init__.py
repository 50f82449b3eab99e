"""A scheduler for agent programs that keeps its promises under failure."""
