"""Delta subscriptions to the store's rows: cursors, snapshots, watch cache and fan-out.

The package has no side effects: it opens no sockets, does not call the store, and takes the current
time as an argument.
"""
