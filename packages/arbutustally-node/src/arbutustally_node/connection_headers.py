"""Headers that concern one connection only and are never forwarded."""

#: Names in lower case; ``content-length`` is among them because each hop frames the body anew.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def connection_options(value: str) -> set[str]:
    """Returns the names listed in a Connection header, in lower case.

    :param value: value of the header, empty without one.
    """
    return {name.strip().lower() for name in value.split(",")}
