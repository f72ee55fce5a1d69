"""Sites in virtual time: incidents that hit whole ones, what the fleet does about them, and what
would be best.
"""
