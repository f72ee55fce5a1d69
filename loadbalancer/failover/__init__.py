"""Site failover: site health, redirection of load, load shedding and recovery.

The package performs no I/O: callers pass in the clock and the random number generator.
"""
