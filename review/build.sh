#!/bin/sh
# Builds what the cases start beside the program of the deploy file: the project's own commands
# (`loadbalancer serve`, `loadbalancer store`), in the environment that `./test` makes too.
# The stand-ins are Python files of the standard library alone and need no build.
set -eu
cd "$(dirname "$0")/.."
if [ ! -x .venv-dev/bin/loadbalancer ] || ! cmp -s pyproject.toml .venv-dev/.made-for; then
    python3 -m venv .venv-dev
    .venv-dev/bin/pip -q install -e '.[dev]'
    cp pyproject.toml .venv-dev/.made-for
fi
