"""Decisions of the gateway: routing, endpoint selection, rate limits, retries and weights.

The gateway relays requests and answers unchanged. ``configuration`` holds the operator's settings,
``requests`` a caller's request, ``endpoint_state`` the known state of an endpoint and
``endpoints`` all of them. ``admission``, ``choice`` and ``attempts`` decide on one request,
``quota`` on an account across the fleet, ``weights`` on the change to newly named weights.
"""
