"""Runs the KV store: ``python -m arbutustally_standins.kv_store``."""

from gevent import monkey

monkey.patch_all()

import sys

from arbutustally_standins.entry import run
from arbutustally_standins.kv_store.app import KvStoreStandin, add_flags

if __name__ == "__main__":
    sys.exit(run(__doc__, KvStoreStandin.from_config, add_flags))
