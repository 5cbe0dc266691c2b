"""Errors of the model."""


class ExperimentError(Exception):
    """An experiment file can't be used; the message names the field and the remedy."""
