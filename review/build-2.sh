#!/bin/sh
# Builds the stand-ins that the second review starts, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/rig2 review/rig review/10
