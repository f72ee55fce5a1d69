"""The replicated store: consensus (pure), log, state, nodes, client."""
