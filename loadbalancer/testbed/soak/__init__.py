"""A soak test: a few dozen real balancers on loopback, troubles that overlap, and a checker with
its own history. `docs/operate/soak.md` says how to run it and what it judges.
"""
