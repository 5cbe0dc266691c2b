"""Runs the log: ``python -m arbutustally_standins.log``."""

from gevent import monkey

monkey.patch_all()

import sys

from arbutustally_standins.entry import run
from arbutustally_standins.log.app import LogStandin, add_flags

if __name__ == "__main__":
    sys.exit(run(__doc__, LogStandin.from_config, add_flags))
