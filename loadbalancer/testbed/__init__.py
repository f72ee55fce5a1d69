"""The lab: an emulated fleet, clients, discovery and faults, and a ledger that judges a balancer in
it.
"""
