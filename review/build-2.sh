#!/bin/bash
# Builds what the cases 6 to 10 start beside the build of the deploy file: the command `loadbalancer`
# with the store, in a virtual environment of its own. The stand-ins of `bed-2` need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m venv --clear review/bed-2/.venv
review/bed-2/.venv/bin/pip -q install -e '.[all]'
review/bed-2/.venv/bin/loadbalancer --help >/dev/null
