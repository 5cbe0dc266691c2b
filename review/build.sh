#!/bin/sh
# Compiles the stand-ins of the cases; they need only Python's standard library.
cd "$(dirname "$0")" && python3 -m compileall -q stand_ins.py ./*/case.py
