#!/bin/sh
# Rebuilds .venv if requirements.txt or pyproject.toml have changed since it was built.
set -eu
cd "$(dirname "$0")/.."
if ! cat requirements.txt pyproject.toml | cmp -s - .venv/built-from; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/python -m pip -q install --disable-pip-version-check -r requirements.txt
    .venv/bin/python -m pip -q install --disable-pip-version-check --no-deps -e .
    cat requirements.txt pyproject.toml > .venv/built-from
fi
.venv/bin/python -m compileall -q ospreyrouter  # the file system is read-only where the program runs
