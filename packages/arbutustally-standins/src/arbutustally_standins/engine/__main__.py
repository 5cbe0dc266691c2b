"""Runs a model engine: ``python -m arbutustally_standins.engine``."""

from gevent import monkey

monkey.patch_all()

import sys

from arbutustally_standins.engine.app import EngineStandin
from arbutustally_standins.engine.options import EngineOptions, add_flags
from arbutustally_standins.entry import run


def build(arguments):
    """Builds the engine from parsed flags."""
    return EngineStandin.from_config(EngineOptions.from_config(arguments))


if __name__ == "__main__":
    sys.exit(run(__doc__, build, add_flags))
