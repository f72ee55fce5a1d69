"""`loadbalancer serve`: one balancer, from the operators' own settings."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from loadbalancer.daemon.settings import read_file
from loadbalancer.proxy.program import run


def serve(
    settings: Annotated[Path, typer.Option(help="The operators' settings, a TOML file.")],
    check: Annotated[bool, typer.Option("--check", help="Read the file and stop.")] = False,
) -> None:
    """Run a balancer until SIGTERM. SIGHUP reads the file again."""
    from loadbalancer.daemon.bootstrap import (
        read_bootstrap,  # the store's libraries only where one is named
    )

    bootstrap = read_bootstrap(settings)
    if check:
        if bootstrap is None:
            read_file(settings)
        elif bootstrap.copy_path is None:
            bootstrap.read()
        typer.echo(f"{settings}: good")
        return
    if bootstrap is None:
        raise typer.Exit(run(lambda: read_file(settings)))
    raise typer.Exit(run(bootstrap.read, bootstrap.create_state_sync))
