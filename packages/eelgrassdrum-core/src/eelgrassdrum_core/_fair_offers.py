"""
Offers of free slots to other instances, so that a slot left to a team waiting there is used soon.

An offer is only a hint: the receiver tries the endpoint, which may still refuse the attempt.
"""

from collections.abc import Iterator
from typing import NamedTuple

from ._effects import Emit, SendPeer
from ._events import PeerReceived
from ._fair import is_waiting
from ._fair_exchange import ZONE_SOURCE_PREFIX, is_valid, remote_waiting, update_ceiling
from ._handlers import HandlerTable
from ._membership import members
from ._membership_state import DEAD
from ._state import State
from ._wire import register_message

# Maximum number of times that an offer is forwarded within the zone that it was sent to.
MAX_HOPS = 1


class SlotReleased(NamedTuple):
    """
    An attempt of this instance has ended and released its slot.

    :param service: ``WORKSPACE/SERVICE``.
    :param endpoint: id of the endpoint.
    :param in_flight: attempts that this instance still had in flight there at that time.
    """

    service: str
    endpoint: str
    in_flight: int


class SlotReceived(NamedTuple):
    """
    Another instance has offered a slot to this one.

    :param service: ``WORKSPACE/SERVICE``.
    :param endpoint: id of the endpoint.
    """

    service: str
    endpoint: str


@register_message
class SlotOffered(NamedTuple):
    """
    Offer of a free slot at an endpoint to the receiver.

    :param service: ``WORKSPACE/SERVICE``.
    :param endpoint: id of the endpoint.
    :param hops: number of times that the offer was forwarded.
    """

    service: str
    endpoint: str
    hops: int


def on_slot_released(state: State, event: SlotReleased) -> Iterator[object]:
    """
    Offer the slot to another instance if no request took it here.
    """
    endpoint = state.endpoints.endpoints.get(event.endpoint)
    if endpoint is None or endpoint.leaving or endpoint.in_flight > event.in_flight:
        return
    yield from _offer(state, SlotOffered(event.service, event.endpoint, 0))


def on_peer(state: State, event: PeerReceived) -> Iterator[object]:
    """
    Use an offered slot, or forward the offer.
    """
    offer = event.message
    if not isinstance(offer, SlotOffered):
        return
    service = state.fair.services.get(offer.service)
    if service is not None and any(is_waiting(team) for team in service.teams.values()):
        yield Emit(SlotReceived(offer.service, offer.endpoint))
    elif offer.hops < MAX_HOPS:
        yield from _offer(state, offer._replace(hops=offer.hops + 1))


def _offer(state: State, offer: SlotOffered) -> Iterator[object]:
    team = _least_served(state, offer.service)
    if team is None:
        return
    key = (offer.service, team)
    # Forwarded offers stay within the zone, so that none is forwarded from zone to zone.
    sources = {
        name: source.waiting[key]
        for name, source in state.fair.exchange.sources.items()
        if is_valid(state, source)
        and key in source.waiting
        and not (offer.hops > 0 and name.startswith(ZONE_SOURCE_PREFIX))
    }
    if not sources:
        return
    chosen = state.rng.choices(list(sources), list(sources.values()))[0]
    address = _offer_address(state, chosen)
    if address is not None:
        _count_offer(state, chosen, key)
        yield SendPeer(address, offer)


def _count_offer(state: State, chosen: str, key: tuple[str, str]) -> None:
    # Assume until the next report that one request fewer waits there, so that no more slots are
    # offered than needed.
    waiting = state.fair.exchange.sources[chosen].waiting
    waiting[key] -= 1
    if waiting[key] <= 0:
        del waiting[key]
    update_ceiling(state, key[0])


def _least_served(state: State, service_name: str) -> str | None:
    service = state.fair.services.get(service_name)
    if service is None:
        return None
    waiting = [name for name in service.teams if remote_waiting(state, service_name, name) > 0]
    return min(waiting, key=lambda name: service.teams[name].virtual_s, default=None)


def _offer_address(state: State, source: str) -> str | None:
    if not source.startswith(ZONE_SOURCE_PREFIX):
        peer = state.membership.peers.get(source)
        return None if peer is None else peer.peer_address
    zone = source.removeprefix(ZONE_SOURCE_PREFIX)
    addresses = [m.peer_address for m in members(state) if m.zone == zone and m.state != DEAD]
    return state.rng.choice(addresses) if addresses else None


HANDLERS: HandlerTable = {SlotReleased: on_slot_released, PeerReceived: on_peer}
