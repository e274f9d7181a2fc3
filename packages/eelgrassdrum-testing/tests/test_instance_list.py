"""
Tests of the lagging list of instances.
"""

from eelgrassdrum_testing import _instance_list as listing
from eelgrassdrum_testing._http_client import call
from eelgrassdrum_testing._process import processes, standin_command
from eelgrassdrum_testing._wait import wait_until


def list_address():
    with processes() as start:
        yield start("list", standin_command("list", lag_s=3600)).address


FIXTURES = {"state": lambda: listing.ListState(lag_s=2.0), "address": list_address}


def endpoint(state="live"):
    return listing.Instance(
        id="ep-1", role="endpoint", address="127.0.0.1:1", zone="a", slots=4, state=state
    )


def test_changes_are_seen_one_lag_later(state):
    """An instance appears, changes and goes only once the lag has passed."""
    listing.put_instance(state, endpoint(), 10.0)
    listing.put_instance(state, endpoint("leaving"), 11.0)
    listing.remove_instance(state, "ep-1", 12.0)
    assert listing.list_instances(state, 11.9) == []
    assert listing.list_instances(state, 12.0) == [endpoint()]
    assert listing.list_instances(state, 13.5) == [endpoint("leaving")]
    assert listing.list_instances(state, 14.0) == []


def test_the_list_over_http_lags_until_told_otherwise(address):
    """The lag is set from outside, and fields that do not apply are left out."""
    body = {"id": "e1", "role": "entry", "address": "127.0.0.1:1", "zone": "a"}
    assert call(address, "PUT", "/v1/instances/e1", body).status == 200
    assert call(address, "PUT", "/v1/instances/e2", body).status == 400
    assert call(address, "GET", "/v1/instances").json() == {"instances": []}
    call(address, "POST", "/faults", {"lag_s": 0.0})
    wait_until(lambda: call(address, "GET", "/v1/instances").json()["instances"] != [])
    found = call(address, "GET", "/v1/instances").json()["instances"]
    assert found == [{**body, "state": "live", "incarnation": 1}]
    call(address, "DELETE", "/v1/instances/e1")
    assert call(address, "GET", "/v1/instances").json() == {"instances": []}


def test_an_outage_of_the_list_answers_503_and_keeps_the_lag(address):
    """Faults without a lag leave the lag as it was."""
    call(address, "POST", "/faults", {"lag_s": 0.0})
    call(address, "POST", "/faults", {"outage": True})
    assert call(address, "GET", "/v1/instances").status == 503
    call(address, "POST", "/faults", {})
    body = {"id": "e1", "role": "entry", "address": "127.0.0.1:1", "zone": "a"}
    call(address, "PUT", "/v1/instances/e1", body)
    wait_until(lambda: call(address, "GET", "/v1/instances").json()["instances"] != [])
