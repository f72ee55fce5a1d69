"""Who may do a work on behalf of the fleet, until when, and what an older token may not do. No
I/O.
"""
