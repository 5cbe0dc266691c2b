"""Replay of a workload on a virtual clock through the real decision modules."""
