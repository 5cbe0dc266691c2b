"""Runs the weight store: ``python -m arbutustally_standins.weight_store``."""

from gevent import monkey

monkey.patch_all()

import sys

from arbutustally_standins.entry import run
from arbutustally_standins.weight_store.app import WeightStoreStandin, add_flags

if __name__ == "__main__":
    sys.exit(run(__doc__, WeightStoreStandin.from_config, add_flags))
