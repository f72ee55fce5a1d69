"""The operators' command `lanelift`: one module a group of verbs. It prints; it decides nothing."""
