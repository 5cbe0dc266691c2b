"""Assumptions about places that hold cached parts and do not report what they drop."""

from arbutustally.gateway.configuration import Configuration
from arbutustally.gateway.endpoints import EndpointBook
from arbutustally.gateway.holdings import STORE_ASSUMED_S, USUAL_TERMS, PlaceTerms


def terms_of(place: str, configuration: Configuration | None, book: EndpointBook) -> PlaceTerms:
    """Returns the assumptions about an engine or a part store.

    :param place: id of an engine, or name of a part store.
    :param configuration: active configuration, ``None`` while there is none.
    """
    if configuration is None:
        return USUAL_TERMS
    state = book.get(place)
    service = configuration.services.get(state.entry.service if state else place)
    if service is None:
        return USUAL_TERMS
    if service.part_store:
        return PlaceTerms(assumed_s=STORE_ASSUMED_S)
    return PlaceTerms(service.engine.cache_tokens) if service.engine else USUAL_TERMS
