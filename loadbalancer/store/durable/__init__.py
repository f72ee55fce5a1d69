"""What a store node keeps on disk: the journal of its log, the state in SQLite, and snapshots."""
