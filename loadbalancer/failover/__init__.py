"""The loss of a whole site: its health, where its load goes and what is refused, its recovery.

Pure: every call is handed the clock; no socket, no store, no randomness but what is handed in.
"""
