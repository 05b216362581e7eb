#!/bin/sh
# Builds the stand-ins of the second review (review/rig2), after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/rig2
