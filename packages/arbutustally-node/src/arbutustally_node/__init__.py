"""The router node: services behind the ``arbutustallyd`` binary."""
