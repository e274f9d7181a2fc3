"""
The instances of a scenario, spread over availability zones and racks.
"""

from collections.abc import Callable
from typing import NamedTuple

from ._instance_list import Instance
from ._scenario import SPARE_POOL, Scenario


class Addresses(NamedTuple):
    """
    The addresses of one instance; only entry instances have one for their peers.
    """

    address: str
    peer_address: str = ""


AddressOf = Callable[[str], Addresses]


def instances(scenario: Scenario, address_of: AddressOf) -> list[Instance]:
    """
    List every instance of a fleet.

    :param scenario: the fleet.
    :param address_of: gives an instance's addresses by its id.
    :returns: entry instances, endpoints and workers.
    """
    return [
        *entry_instances(scenario, address_of),
        *endpoint_instances(scenario, address_of),
        *worker_instances(scenario, address_of),
    ]


def entry_instances(scenario: Scenario, address_of: AddressOf) -> list[Instance]:
    """
    List a fleet's entry instances.

    :param scenario: the fleet.
    :param address_of: gives an instance's addresses by its id.
    :returns: the instances.
    """
    found = []
    for number in range(scenario.entries):
        zone = zone_of(scenario, number)
        name = f"entry-{zone}{number // len(scenario.zones) + 1}"
        address, peer_address = address_of(name)
        found.append(
            Instance(id=name, role="entry", address=address, peer_address=peer_address, zone=zone)
        )
    return found


def endpoint_instances(scenario: Scenario, address_of: AddressOf) -> list[Instance]:
    """
    List a fleet's endpoints, one for each executor.

    :param scenario: the fleet.
    :param address_of: gives an instance's addresses by its id.
    :returns: the instances.
    """
    found = []
    for service in scenario.services:
        for number in range(scenario.executors):
            zone = zone_of(scenario, number)
            name = f"{service}-{zone}{number // len(scenario.zones) + 1}"
            endpoint = Instance(
                id=name,
                role="endpoint",
                address=address_of(name).address,
                zone=zone,
                service=service,
                slots=scenario.slots,
            )
            found.append(endpoint)
    return found


def worker_instances(scenario: Scenario, address_of: AddressOf) -> list[Instance]:
    """
    List a fleet's workers.

    :param scenario: the fleet.
    :param address_of: gives an instance's addresses by its id.
    :returns: the instances.
    """
    found = []
    for number in range(scenario.workers):
        rack = number // scenario.workers_per_rack
        zone = zone_of(scenario, rack)
        name = f"worker-{number + 1}"
        worker = Instance(
            id=name,
            role="worker",
            address=address_of(name).address,
            zone=zone,
            rack=f"{zone}-r{rack + 1}",
            cores=scenario.worker.cores,
            memory_gb=scenario.worker.memory_gb,
            accelerators=scenario.worker.accelerators,
        )
        found.append(worker)
    return found


def worker_pools(scenario: Scenario) -> dict[str, str]:
    """
    Assign each worker to a pool, a rack at a time: one pool for each service, and the spare.

    :param scenario: the fleet.
    :returns: the pool by worker id.
    """
    pools = (*scenario.services, SPARE_POOL)
    return {
        f"worker-{number + 1}": pools[number // scenario.workers_per_rack % len(pools)]
        for number in range(scenario.workers)
    }


def zone_of(scenario: Scenario, number: int) -> str:
    """
    Choose an availability zone in turn.

    :param scenario: the fleet.
    :param number: the instance's or rack's number, from 0.
    :returns: the zone.
    """
    return scenario.zones[number % len(scenario.zones)]
