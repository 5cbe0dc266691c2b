"""Randomized soak of gateway nodes as real processes, with faults from outside them.

Run by hand with ``python -m tests.soak --first 1 --seeds 50``.
"""
