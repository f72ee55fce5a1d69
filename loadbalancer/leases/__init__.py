"""Leader leases and fencing tokens for tasks that one process of the fleet performs at a time.

The package performs no I/O: callers pass in the clock, the store's responses and watch events.
"""
