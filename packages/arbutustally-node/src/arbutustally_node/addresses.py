"""Checked network addresses from documents and messages of other programs.

Only literal IPv4 addresses are accepted: a host name would cost a lookup for each connection, and a
malformed one raises errors that are not ``OSError``.
"""

import ipaddress
import re

MAX_PORT = 65_535

_IP = re.compile(r"[0-9]{1,3}(?:\.[0-9]{1,3}){3}")
_PORT = re.compile(r"[0-9]{1,5}")


def is_host_ip(text: str) -> bool:
    """Returns whether a text is the IPv4 address of one host."""
    if not _IP.fullmatch(text):
        return False
    try:
        ip = ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return not (ip.is_unspecified or ip.is_multicast or ip.is_reserved)


def is_host_address(text: str) -> bool:
    """Returns whether a text is ``IP:PORT`` of one host."""
    ip, _, port = text.rpartition(":")
    return is_host_ip(ip) and bool(_PORT.fullmatch(port)) and 1 <= int(port) <= MAX_PORT
