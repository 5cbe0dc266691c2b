"""Decisions of the gateway: routing, endpoint selection, rate limits, retries and weights.

The gateway relays requests and answers unchanged. ``configuration`` holds the operator's settings,
``requests`` a caller's request, ``endpoints`` the known state of endpoints. ``admission``,
``choice`` and ``attempts`` decide on one request, ``quota`` on an account across the fleet,
``weights`` on the change to newly named weights.
"""
