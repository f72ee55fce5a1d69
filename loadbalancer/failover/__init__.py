"""The loss of a whole site: is it there, where its load goes and what is refused, how it comes
back. Pure: every call is handed the clock; no socket, no store, no chance but what is handed in.
"""
