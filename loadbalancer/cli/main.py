"""`loadbalancer`: where the groups of verbs come together, and how a wrong use ends: one line, exit
status 2.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from importlib import metadata

import typer

from loadbalancer.settings import MalformedError
from loadbalancer.store.durable.errors import DamagedError, DiskFullError
from loadbalancer.store.errors import StoreError
from loadbalancer.testbed.topology import Unusable

# These start without the lab's libraries.
DAEMONS = ("serve", "store", "config", "feed", "lease", "roll", "site", "version")


def version() -> None:
    """Print the version."""
    typer.echo(f"loadbalancer {metadata.version('loadbalancer')}")


def application(words: Sequence[str]) -> typer.Typer:
    """The commands; the lab, whose libraries take half a second to load, only where it may be
    meant.
    """
    from loadbalancer.cli import config, feed, lease, roll, serve, site, store

    app = typer.Typer(
        no_args_is_help=True,
        add_completion=False,
        pretty_exceptions_enable=False,
        help="A load balancer that keeps its rules, and the lab that shows it under failure.",
    )
    app.command("serve")(serve.serve)
    app.add_typer(store.app, name="store")
    app.add_typer(config.app, name="config")
    app.add_typer(feed.app, name="feed")
    app.add_typer(lease.app, name="lease")
    app.add_typer(roll.app, name="roll")
    app.add_typer(site.app, name="site")
    if not words or words[0] not in DAEMONS:
        from loadbalancer.cli import clusters, feedsim, lab, rig, sitelab, sizelab, sizestore

        clusters.add_to(lab.app)
        feedsim.add_to(lab.app)
        rig.add_to(lab.app)
        sitelab.add_to(lab.app)
        sizelab.add_to(lab.app)
        sizestore.add_to(sizelab.app)
        app.add_typer(lab.app, name="lab")
    app.command()(version)
    return app


def main() -> None:
    try:
        application(sys.argv[1:])()
    except (Unusable, MalformedError) as error:
        print(f"loadbalancer: {error}", file=sys.stderr)
        sys.exit(2)
    except (StoreError, DamagedError, DiskFullError) as error:
        print(f"loadbalancer: {error}", file=sys.stderr)
        sys.exit(1)
    except KeyboardInterrupt:
        print("loadbalancer: interrupted", file=sys.stderr)
        sys.exit(130)
    except BrokenPipeError:  # whoever read the output has gone, as `head` does
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(1)


if __name__ == "__main__":
    main()
