"""Odd JSON values that a foreign writer may leave in a record, and strategies that generate them."""

import json

from hypothesis import strategies as st

#: Deeper than the interpreter's recursion limit allows ``repr``, but accepted by the JSON parser.
DEPTH = 1000
_BEYOND_RANGE = "beyond the range of a float"


def nested(depth: int = DEPTH) -> list:
    """Returns a list in a list, and so on."""
    value: list = []
    for _ in range(depth):
        value = [value]
    return value


#: Named values, each of another type or out of the range of every field.
ODD_VALUES = {
    "nested": nested(),
    "nothing": None,
    "true": True,
    "infinite": float("inf"),
    "not a number": float("nan"),
    "beyond a float": _BEYOND_RANGE,
    "huge float": 1e308,
    "whole of 65 bits": 1 << 64,
    "whole of 64 bits": (1 << 64) - 1,
    "5,000 digits": int("9" * 4000) * 10**1000,
    "digits as text": "9" * 5000,
    "negative": -1,
    "list": [1, 2],
    "table": {"a": 1},
    "text": "odd",
    "empty text": "",
    "line end": "a\r\nb",
    "null character": "a\0b",
    "half a character": "\ud800",
    "long text": "x" * 100_000,
}

ODD_ADDRESSES = (
    "127.0.0.1:99999",
    "127.0.0.1:65536",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:٣٤٥٦",
    "127.0.0.1:²",
    "127.0.0.1:",
    ":8080",
    "8080",
    "no-such-host.invalid:8080",
    "localhost:8080",
    "a\0b:8080",
    "a\nb:8080",
    "\ufffd:8080",
    "x" * 300 + ":8080",
    "1.2:8080",
    "0.0.0.0:8080",
    "255.255.255.255:8080",
    "224.0.0.1:8080",
    "::1:8080",
    "[::1]:8080",
)


def as_json(value: object) -> bytes:
    """Returns a value as JSON, numbers beyond the range of a float included."""
    # ``json`` follows the interpreter's recursion limit and its limit on digits.
    if isinstance(value, list) and value and isinstance(value[0], list):
        return b"[" * DEPTH + b"]" * DEPTH
    if isinstance(value, int) and not isinstance(value, bool) and value > 10**4000:
        return b"9" * 5000
    if value == _BEYOND_RANGE:
        return b"1e400"
    return json.dumps(value).encode()


def with_field(fields: dict, name: str, value: object) -> bytes:
    """Returns a document as JSON with one field replaced."""
    rest = {key: one for key, one in fields.items() if key != name}
    text = json.dumps(rest).encode()
    return text[:-1] + b", " + json.dumps(name).encode() + b": " + as_json(value) + b"}"


def odd_values() -> st.SearchStrategy:
    """Returns a strategy for values of any type, sizes and depth."""
    named = st.sampled_from(sorted(ODD_VALUES)).map(ODD_VALUES.__getitem__)
    scalars = (
        st.none()
        | st.booleans()
        | st.integers(-(1 << 70), 1 << 70)
        | st.floats()
        | st.text(max_size=8)
    )
    return (
        named
        | st.sampled_from(ODD_ADDRESSES)
        | st.recursive(
            scalars,
            lambda inner: st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(["name", "version", "service", "weight"]) | st.text(max_size=3),
                inner,
                max_size=3,
            ),
            max_leaves=5,
        )
    )
