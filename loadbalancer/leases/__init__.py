"""Leader leases and fencing tokens: who leads a task of the fleet, until when, under which token.

Nothing here does I/O: the clock, the store's responses and the watch events are handed in.
"""
