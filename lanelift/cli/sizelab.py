"""`lanelift lab size ...`: what each role costs at the planned size, and a fleet of hollow balancers."""

from __future__ import annotations

import typer

from lanelift.cli import sizefleet

app = typer.Typer(no_args_is_help=True, help="The fleet at the size that users plan for.")
sizefleet.add_to(app)


def add_to(lab: typer.Typer) -> None:
    lab.add_typer(app, name="size")
