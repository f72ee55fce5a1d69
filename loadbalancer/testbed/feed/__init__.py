"""The feed in virtual time: nodes, balancers and the links between them, and books of its own."""
