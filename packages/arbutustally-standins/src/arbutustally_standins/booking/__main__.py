"""Runs a booking service: ``python -m arbutustally_standins.booking``."""

from gevent import monkey

monkey.patch_all()

import sys

from arbutustally_standins.booking.app import BookingStandin, add_flags
from arbutustally_standins.entry import run

if __name__ == "__main__":
    sys.exit(run(__doc__, BookingStandin.from_config, add_flags))
