"""What a store node stores on disk: the journal of its log, the state in SQLite, and snapshots."""
