"""Assembly of a `serve` process: settings, store client, state sync and leased controllers."""
