"""The replicated store: consensus (without I/O), log, state, nodes and client."""
