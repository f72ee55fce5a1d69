"""Delta subscriptions to the store's rows: cursors, snapshots, watch cache and fan-out.

Pure: no sockets, no store and no clock but the one that is handed in.
"""
