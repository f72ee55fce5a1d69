"""`lanelift`: where the groups of verbs come together, and how a wrong use ends: one line, exit status 2."""

from __future__ import annotations

import os
import sys
from importlib import metadata

import typer

from lanelift.cli import clusters, config, lab, serve, store
from lanelift.lab.topology import Unusable
from lanelift.settings import Malformed
from lanelift.store.client import StoreError
from lanelift.store.durable.journal import Damaged, Full

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False,
                  help="A load balancer that keeps its rules, and the lab that shows it under failure.")
clusters.add_to(lab.app)
app.add_typer(lab.app, name="lab")
app.add_typer(store.app, name="store")
app.add_typer(config.app, name="config")
app.command("serve")(serve.serve)


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(f"lanelift {metadata.version('lanelift')}")


def main() -> None:
    try:
        app()
    except (Unusable, Malformed) as error:
        print(f"lanelift: {error}", file=sys.stderr)
        sys.exit(2)
    except (StoreError, Damaged, Full) as error:
        print(f"lanelift: {error}", file=sys.stderr)
        sys.exit(1)
    except KeyboardInterrupt:
        print("lanelift: interrupted", file=sys.stderr)
        sys.exit(130)
    except BrokenPipeError:  # whoever read the output has gone, as `head` does
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(1)


if __name__ == "__main__":
    main()
