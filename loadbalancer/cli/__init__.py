"""The operators' command `loadbalancer`: one module a group of verbs. It prints; it decides
nothing.
"""
