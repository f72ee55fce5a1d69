"""Whole clusters of the store: in virtual time with every failure, and as real processes that are
killed.
"""
