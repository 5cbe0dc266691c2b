"""Runs the instance list: ``python -m arbutustally_standins.instances``."""

from gevent import monkey

monkey.patch_all()

import sys

from arbutustally_standins.entry import run
from arbutustally_standins.instances.app import InstancesStandin, add_flags

if __name__ == "__main__":
    sys.exit(run(__doc__, InstancesStandin.from_config, add_flags))
