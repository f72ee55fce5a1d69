"""The on-disk data of a store node: the log's journal, the state in SQLite, and snapshots."""
