#!/bin/sh
# Makes .venv anew whenever the pinned requirements are not the ones it was made from.
set -eu
cd "$(dirname "$0")/.."
if ! cmp -s requirements.txt .venv/requirements.built; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/python -m pip -q install --disable-pip-version-check -r requirements.txt
    cp requirements.txt .venv/requirements.built
fi
