"""`lanelift serve`: one balancer, from the operators' own settings."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from lanelift.__main__ import run
from lanelift.daemon.settings import read_file


def serve(settings: Annotated[Path, typer.Option(help="The operators' settings, a TOML file.")],
          check: Annotated[bool, typer.Option("--check", help="Read the file and stop.")] = False) -> None:
    """Run a balancer until SIGTERM. SIGHUP reads the file again."""
    if check:
        read_file(settings)
        typer.echo(f"{settings}: good")
        return
    raise typer.Exit(run(lambda: read_file(settings)))
