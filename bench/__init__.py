"""Measurement scripts; each prints a table and writes CSV under bench/out."""
