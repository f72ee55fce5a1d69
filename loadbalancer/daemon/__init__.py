"""Assembles a running `serve` process: settings, store client, state sync and controllers."""
