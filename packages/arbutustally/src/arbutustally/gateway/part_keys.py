"""Short keys of prompt parts, by which nodes compare the prompts of different requests."""

from hashlib import blake2b

from arbutustally.gateway.requests import CallerRequest

KEY_BYTES = 8


def part_key(model: str, part_id: str) -> bytes:
    """Returns the key of a part of a model's prompts."""
    return blake2b(f"{model}\0{part_id}".encode(), digest_size=KEY_BYTES).digest()


def endpoint_key(endpoint_id: str, incarnation: str) -> bytes:
    """Returns the key of one start of an endpoint."""
    return blake2b(f"{endpoint_id}\0{incarnation}".encode(), digest_size=KEY_BYTES).digest()


def shared_part_keys(request: CallerRequest) -> tuple[bytes, ...]:
    """Returns the keys of a prompt's parts without the last one, which belongs to the request."""
    return tuple(part_key(request.model, part.id) for part in request.parts[:-1])
