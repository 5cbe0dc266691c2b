"""Gateway between callers and endpoints, whose traffic it relays unchanged.

A request passes through ``listener`` (reads it), ``request_handler`` (route, key, limit, attempts)
and ``transport`` (one attempt at an endpoint), and its answer through ``caller`` (writes it).
``fleet_view`` holds the node's configuration, weights and endpoints, ``operator_reader`` updates it
from the platform's store, ``gossip`` exchanges state with peers, and ``weights_service`` orders
engines to load newly named weights.
"""
