"""A fault-tolerant scheduler for agent programs."""
