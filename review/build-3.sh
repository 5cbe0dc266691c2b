#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they are Python programs without dependencies, so
# this only checks that they compile. The nodes are built with the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - common_3 11 12 13 14 15 <<'END'
import sys
from pathlib import Path

for folder in sys.argv[1:]:
    for path in sorted(Path(folder).glob("*.py")):
        compile(path.read_bytes(), str(path), "exec")
END
[ -d ../target/deps/arbutustally_platform ] || {
    echo "build the deploy file first" >&2
    exit 1
}
