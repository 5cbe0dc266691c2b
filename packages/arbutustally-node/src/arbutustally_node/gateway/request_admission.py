"""What a request must pass before its first attempt: the quarantine and its account's rate limit."""

from arbutustally.errors import QuarantinedPartError, RateLimitedError
from arbutustally.gateway.configuration import ClientAccount
from arbutustally.gateway.requests import CallerRequest
from arbutustally_node.gateway.request_services import RequestServices, Trace


def admit(services: RequestServices, shared_parts: tuple[bytes, ...], trace: Trace) -> None:
    """Lets a request through.

    :param shared_parts: keys of the shared parts of its prompt.
    :raises QuarantinedPartError: if one of them has ended endpoints.
    """
    try:
        services.quarantine.admit(shared_parts)
    except QuarantinedPartError:
        trace.facts["parts"] = [part.hex() for part in shared_parts]
        raise


def take_cost(
    services: RequestServices, account: ClientAccount | None, request: CallerRequest, trace: Trace
) -> float:
    """Charges the cost of a request to the account's rate limit, and returns it.

    :raises RateLimitedError: if the account has exceeded its rate and burst.
    """
    if account is None:
        return 0.0
    quota = services.quota
    cost = account.cost(request.tokens)
    wait = quota.take(account.name, cost)
    if wait is not None:
        trace.facts.update(cost=cost, level=round(quota.level(account.name)))
        raise RateLimitedError("account rate limit exceeded", retry_after_s=round(wait, 3))
    return cost
