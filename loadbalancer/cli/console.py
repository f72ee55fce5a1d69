"""Where commands print: tables in a file are not cut short to a terminal's width."""

from __future__ import annotations

import sys

from rich.console import Console

out = Console(width=None if sys.stdout.isatty() else 120)
