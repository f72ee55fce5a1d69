"""Raft without I/O: messages, log, membership and the consensus state machine (see `node`)."""
