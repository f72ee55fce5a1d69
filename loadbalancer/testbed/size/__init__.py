"""What each role costs by size, and the fleet at the size to design for: slopes, and hollow
balancers.
"""
