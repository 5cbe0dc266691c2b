"""Runs the demo client: ``python -m arbutustally_standins.caller``.

The key is read from the variable CALLER_KEY, so that it does not show in the process list.
"""

from gevent import monkey

monkey.patch_all()

import sys

from arbutustally_standins.caller.commands import main

if __name__ == "__main__":
    sys.exit(main())
