"""The operator's configuration in tests of the gateway."""


def configuration(version: int = 1, **changes) -> dict:
    """Returns an operator's configuration with one engine route and two plain ones."""
    common = {"host": "h.example", "public": False, "sessionAffinity": False, "timeoutMs": 2000}
    fields = {
        "version": version,
        "routes": [
            {
                **common,
                "name": "chat",
                "pathPrefix": "/chat/",
                "kind": "streaming",
                "targetLatencyMs": 300,
                "priority": 0,
                "service": "llm",
                "maxAttempts": 2,
                "resumable": True,
                "gapAimMs": 250,
            },
            {
                **common,
                "name": "book",
                "pathPrefix": "/book/",
                "kind": "non_idempotent",
                "targetLatencyMs": 200,
                "priority": 2,
                "service": "desk",
                "maxAttempts": 1,
            },
            {
                **common,
                "name": "look",
                "pathPrefix": "/look/",
                "kind": "idempotent",
                "targetLatencyMs": 200,
                "priority": 2,
                "service": "desk",
                "maxAttempts": 2,
            },
        ],
        "services": [
            {
                "name": "llm",
                "healthCheck": "/healthz",
                "maxConnections": 100,
                "engine": {
                    "slots": 4,
                    "kvCapacityTokens": 100000,
                    "kvTokenBytes": 1000,
                    "linkMbps": 1000.0,
                    "maxInflight": 12,
                    "models": [{"name": "m"}],
                },
            },
            {"name": "desk", "healthCheck": "/healthz", "maxConnections": 100},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 1000,
            "idleTimeoutMs": 5000,
        },
        "tenants": [
            {
                "name": "school",
                "apiKeys": ["key-school"],
                "priority": 1,
                "unit": "tokens",
                "plainTokens": 200,
                "isolated": False,
                "ratePerS": 100000,
                "burst": 100000,
            }
        ],
    }
    return {**fields, **changes}
