"""What is on disk: log segments, state, snapshots."""
