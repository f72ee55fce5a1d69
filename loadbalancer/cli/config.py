"""`loadbalancer config ...`: configuration documents in the store."""

from __future__ import annotations

import getpass
import sys
import time
from pathlib import Path
from typing import Annotated

import typer
from rich.table import Table

from loadbalancer.cli.console import out
from loadbalancer.cli.store import At, Authority, Cert, Key, client, using
from loadbalancer.daemon.documents import find_error
from loadbalancer.settings import MalformedError
from loadbalancer.store import documents
from loadbalancer.store.client import Client
from loadbalancer.store.documents import DocumentChange
from loadbalancer.store.wire.protocol import Row

app = typer.Typer(no_args_is_help=True, help="Configuration documents: checked, versioned, whole.")

Name = Annotated[str, typer.Argument(help="Of the document, `balancer` say.")]
NoteText = Annotated[str, typer.Option(help="Why, for the history.")]


def _author() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


@app.command("list")
def list_(at: At, certificate: Cert = None, key: Key = None, authority: Authority = None) -> None:
    """All documents, with their versions."""
    found = using(client(at, certificate, key, authority), lambda c: c.scan(documents.PREFIX))
    for row in found.rows:
        out.print(f"{row.key[len(documents.PREFIX) :]}  version {row.version}", soft_wrap=True)


@app.command()
def get(
    name: Name,
    at: At,
    version: Annotated[int, typer.Option(help="An older one.")] = 0,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
) -> None:
    """Print a document as it stands."""
    row = using(
        client(at, certificate, key, authority), lambda c: documents.get(c, name, version or None)
    )
    sys.stdout.write((row.value or b"").decode())
    print(f"{name}: version {row.version}", file=sys.stderr)


@app.command()
def put(
    name: Name,
    file: Annotated[Path, typer.Argument(help="- for the standard input.")],
    at: At,
    version: Annotated[
        int, typer.Option(help="What it must be at: 0: not there, -1: whatever.")
    ] = -1,
    note: NoteText = "",
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
) -> None:
    """Check a document and put it in place of the one that stands, as a whole."""
    try:
        text = sys.stdin.read() if str(file) == "-" else file.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise MalformedError(f"{file}: {getattr(error, 'strerror', None) or error}") from None
    made = using(
        client(at, certificate, key, authority),
        lambda c: documents.put(
            c, name, text, find_error, DocumentChange(version, _author(), note)
        ),
    )
    out.print(f"{name}: version {made}")


@app.command()
def diff(
    name: Name,
    at: At,
    a: Annotated[int, typer.Option(help="0: the one before B.")] = 0,
    b: Annotated[int, typer.Option(help="0: as it stands.")] = 0,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
) -> None:
    """What changed between two versions."""

    async def work(c: Client) -> str:
        new = await documents.get(c, name, b or None)
        if a:
            old = await documents.get(c, name, a or None)
        else:
            before = [
                r for r in (await c.history(documents.key(name))).rows if r.version < new.version
            ]
            old = before[0] if before else Row(new.key, b"", 0, 0)
        return documents.diff(name, old, new)

    sys.stdout.write(using(client(at, certificate, key, authority), work))


@app.command()
def history(
    name: Name, at: At, certificate: Cert = None, key: Key = None, authority: Authority = None
) -> None:
    """Who put which version there, when and why."""
    found = using(client(at, certificate, key, authority), lambda c: c.history(documents.key(name)))
    table = Table(title=name)
    for column in ("version", "when", "who", "bytes", "note"):
        table.add_column(column)
    for row in found.rows:
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(row.time_ms / 1000))
        table.add_row(
            str(row.version),
            when,
            row.author,
            "deleted" if row.value is None else str(len(row.value)),
            row.note,
        )
    out.print(table)


@app.command()
def rollback(
    name: Name,
    version: int,
    at: At,
    certificate: Cert = None,
    key: Key = None,
    authority: Authority = None,
) -> None:
    """Put an older version there again, as a new one."""
    made = using(
        client(at, certificate, key, authority),
        lambda c: documents.rollback(c, name, version, find_error, _author()),
    )
    out.print(f"{name}: version {made}")
