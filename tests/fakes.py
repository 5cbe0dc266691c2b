"""Fakes with the signatures of section 16 of the design, for tests of the request path."""

from typing import Any

from arbutustally_node.options import SETTINGS, Options


def node_options(**changes: Any) -> Options:
    """Returns options with the defaults of the settings and the given changes."""
    values = {setting.name: setting.default for setting in SETTINGS}
    values.update(
        node_id="entry-1",
        zone="zone-a",
        log_url="http://127.0.0.1:1",
        instances_url="http://127.0.0.1:1",
        peer_secret="s" * 24,
        operator_token="o" * 24,
    )
    values.update(changes)
    return Options.from_config(values)
