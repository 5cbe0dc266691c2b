#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10: they are Python and need only the
# standard library, so this compiles them and checks that they can be read.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common_2
