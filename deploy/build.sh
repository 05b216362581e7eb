#!/bin/sh
# Makes .venv anew whenever the pinned requirements or the package's own entry are not those it was made from.
set -eu
cd "$(dirname "$0")/.."
if ! cat requirements.txt pyproject.toml | cmp -s - .venv/built-from; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/python -m pip -q install --disable-pip-version-check -r requirements.txt
    .venv/bin/python -m pip -q install --disable-pip-version-check --no-deps -e .
    cat requirements.txt pyproject.toml > .venv/built-from
fi
.venv/bin/python -m compileall -q ospreyrouter  # the disk is read-only where the program runs
