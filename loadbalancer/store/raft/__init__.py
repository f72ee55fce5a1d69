"""Consensus: Raft as a state machine without I/O."""
