"""Real processes of the program with a relay between every two that talk, faults at moments, and
books.
"""
