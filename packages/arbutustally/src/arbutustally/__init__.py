"""Decisions and platform clients of the arbutustally router."""

__version__ = "0.1.0"
