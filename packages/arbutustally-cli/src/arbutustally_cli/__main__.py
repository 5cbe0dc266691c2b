"""Runs the operator command."""

from arbutustally_cli.main import main

if __name__ == "__main__":
    main()
