"""Workloads and measurements."""
