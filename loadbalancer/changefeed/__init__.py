"""Which rows each balancer hears: subscriptions, cursors, coalescing, snapshots, digests. Pure."""
