#!/bin/sh
# Compiles the stand-ins of the review. They are Python and need nothing besides the standard library.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
