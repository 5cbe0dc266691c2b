"""Relay of traffic that stays unchanged between callers and endpoints.

A request passes ``listener`` (reads it), ``exchange`` (route, key, limit, attempts), ``transport``
(one attempt at an endpoint) and back through ``caller`` (writes the answer). ``fleet_view`` holds
what the node knows, ``follower`` keeps it current from the platform's store, ``gossip`` tells
peers, ``weights_service`` orders engines to load newly named weights.
"""
