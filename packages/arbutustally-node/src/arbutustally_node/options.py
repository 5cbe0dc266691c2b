"""Settings of the node and the frozen options built from them."""

import uuid
from collections.abc import Mapping
from dataclasses import dataclass, fields
from typing import Any

from arbutustally.errors import SettingInvalidError
from arbutustally.settings import Setting

SETTINGS = (
    Setting("node_id", str, None, "Name of this node, unique in the fleet.", example="entry-1"),
    Setting("zone", str, None, "Availability zone of this instance.", example="zone-a"),
    Setting(
        "caller_listen", str, "127.0.0.1:8080", "Address for callers, host:port; port 0 picks one."
    ),
    Setting("operator_listen", str, "127.0.0.1:8081", "Address for operators, host:port."),
    Setting("peer_listen", str, "127.0.0.1:8082", "Address for peer links, host:port."),
    Setting("caller_advertise", str, "", "Address named to callers; empty uses caller_listen."),
    Setting("peer_advertise", str, "", "Address named to peers; empty uses peer_listen."),
    Setting("log_url", str, None, "Base URL of the log.", example="http://127.0.0.1:9100"),
    Setting(
        "instances_url",
        str,
        None,
        "Base URL of the instance list.",
        example="http://127.0.0.1:9101",
    ),
    Setting("kv_url", str, "", "Base URL of the KV store; empty disables imports."),
    Setting(
        "peer_secret",
        str,
        None,
        "Fleet secret that authenticates peer links and stream tokens, at least 16 characters.",
        secret=True,
        example="$(openssl rand -hex 24)",
    ),
    Setting(
        "peer_secret_previous",
        str,
        "",
        "Fleet secret still accepted while the secret is rotated.",
        secret=True,
    ),
    Setting(
        "operator_token",
        str,
        None,
        "Bearer credential of operators, at least 16 characters.",
        secret=True,
        example="$(openssl rand -hex 24)",
    ),
    Setting("statsd_host", str, "", "Host of statsd; empty counts locally only."),
    Setting("statsd_port", int, 8125, "UDP port of statsd.", low=1, high=65535),
    Setting(
        "log_level",
        str,
        "info",
        "Least level logged.",
        choices=("debug", "info", "warning", "error"),
    ),
    Setting("lease_s", float, 10.0, "Duration of a lease.", "s", low=1, high=300),
    Setting("booking_window_s", float, 3600.0, "Oldest accepted idempotency key.", "s", 10, 86400),
    Setting(
        "key_staleness_s",
        float,
        8.0,
        "Time without confirmation of the log's tail after which keys need a majority of nodes.",
        "s",
        1,
        60,
    ),
    Setting("drain_grace_s", float, 20.0, "Least time of serving after SIGTERM.", "s", 0, 600),
    Setting("max_body_bytes", int, 4 << 20, "Largest request body.", "bytes", 1024, 64 << 20),
    Setting("max_header_bytes", int, 16 << 10, "Largest request head.", "bytes", 1024, 1 << 20),
    Setting("body_timeout_s", float, 10.0, "Time for a caller to send its request.", "s", 0.1, 300),
    Setting(
        "endpoint_connect_timeout_s", float, 1.0, "Time to connect to an endpoint.", "s", 0.01, 60
    ),
    Setting(
        "endpoint_read_timeout_s", float, 30.0, "Longest silence of an endpoint.", "s", 0.1, 600
    ),
    Setting("shards", int, 8, "Number of shards of the account limits.", low=1, high=1024),
    Setting("poll_interval_s", float, 1.0, "Interval of load and list polls.", "s", 0.05, 30),
    Setting(
        "log_retention_s",
        float,
        86400.0,
        "Retention of the log as its operator set it.",
        "s",
        20,
        1e8,
    ),
)

MIN_SECRET_LENGTH = 16


@dataclass(frozen=True)
class Options:
    """Effective settings of one node process; see ``SETTINGS`` for units and ranges.

    :ivar incarnation: random identity of this process, new at each start.
    """

    node_id: str
    zone: str
    caller_listen: str
    operator_listen: str
    peer_listen: str
    caller_advertise: str
    peer_advertise: str
    log_url: str
    instances_url: str
    kv_url: str
    peer_secret: str
    peer_secret_previous: str
    operator_token: str
    statsd_host: str
    statsd_port: int
    log_level: str
    lease_s: float
    booking_window_s: float
    key_staleness_s: float
    drain_grace_s: float
    max_body_bytes: int
    max_header_bytes: int
    body_timeout_s: float
    endpoint_connect_timeout_s: float
    endpoint_read_timeout_s: float
    shards: int
    poll_interval_s: float
    log_retention_s: float
    incarnation: str = ""

    @classmethod
    def from_config(cls, values: Mapping[str, Any]) -> "Options":
        """Builds options and checks rules that span several settings.

        :raises SettingInvalidError: naming the settings, the rule and a remedy.
        """
        known = {field.name for field in fields(cls)}
        taken = {name: value for name, value in values.items() if name in known}
        taken.setdefault("incarnation", uuid.uuid4().hex[:12])
        options = cls(**taken)
        for name in ("peer_secret", "operator_token"):
            if len(getattr(options, name)) < MIN_SECRET_LENGTH:
                raise SettingInvalidError(
                    f"--{name.replace('_', '-')} is shorter than {MIN_SECRET_LENGTH} characters; "
                    "generate one with: openssl rand -hex 24"
                )
        if options.booking_window_s >= options.log_retention_s:
            raise SettingInvalidError(
                "--booking-window-s must be below --log-retention-s, else claims expire from the "
                "log while their keys are accepted; lower the window or raise the retention"
            )
        if "#" in options.node_id or "~" in options.node_id:
            raise SettingInvalidError("--node-id must not contain '#' or '~'; example: entry-1")
        return options

    @property
    def holder(self) -> str:
        """Returns the identity under which this process holds leases and claims."""
        return f"{self.node_id}#{self.incarnation}"


def split_address(address: str) -> tuple[str, int]:
    """Splits ``host:port``.

    :raises SettingInvalidError: if the port is missing or not a number from 0 to 65535.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise SettingInvalidError(f"address {address!r} is not host:port; example: 127.0.0.1:8080")
    return host, int(port)
