#!/bin/sh
# Builds the gateway node into target/; runs at the root of the repository.
set -eu
deps=target/deps
# The packages contain compiled modules, so a folder from another kind of machine can't be used.
key=$(python3 -c '
import hashlib, platform, sys
pins = open("requirements/runtime.txt", "rb").read()
print(platform.machine(), sys.implementation.cache_tag, hashlib.sha256(pins).hexdigest())
')
if [ "$(cat "$deps/.built" 2>/dev/null)" != "$key" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --require-hashes \
        --target "$deps" -r requirements/runtime.txt
    echo "$key" >"$deps/.built"
fi
for part in packages/arbutustally/src/arbutustally \
    packages/arbutustally-node/src/arbutustally_node \
    platform/arbutustally_platform; do
    name=$(basename "$part")
    rm -rf "${deps:?}/$name"
    cp -r "$part" "$deps/"
    python3 -m compileall -q "$deps/$name"
done
