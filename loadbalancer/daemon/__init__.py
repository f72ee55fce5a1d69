"""The daemon: a running process put together from the operators' own settings."""
