"""Decisions on traffic that is relayed unchanged: routes, endpoints, limits, attempts, weights.

``configuration`` holds what operators declare, ``requests`` what a caller asks, ``endpoints`` what
is known of endpoints. ``admission``, ``choice`` and ``attempts`` decide on one request, ``quota``
on an account across the fleet, ``weights`` on moves to newly named weights.
"""
