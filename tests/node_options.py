"""Options of nodes in tests: default settings, with free ports on the loopback interface."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from arbutustally_node.options import SETTINGS, Options

REQUIRED = {
    "zone": "zone-a",
    "log_url": "http://127.0.0.1:1",
    "instances_url": "http://127.0.0.1:1",
    "peer_secret": "test-secret-0123456789",
    "operator_token": "test-token-0123456789",
    "caller_listen": "127.0.0.1:0",
    "operator_listen": "127.0.0.1:0",
    "peer_listen": "127.0.0.1:0",
}


def with_defaults(values: Mapping[str, Any]) -> Options:
    """Returns options with these values and the defaults of all other settings."""
    return Options.from_config({setting.name: setting.default for setting in SETTINGS} | values)


def options(node_id: str, **changes: Any) -> Options:
    """Returns the options of a node, with the values of ``changes``."""
    return replace(with_defaults({**REQUIRED, "node_id": node_id}), **changes)
