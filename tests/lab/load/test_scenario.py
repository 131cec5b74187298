"""Scenarios: the mix of protocols does not change the workers, requests and faults of a seed."""

from dataclasses import replace

import pytest

from stepstream.config.errors import ConfigurationError
from stepstream.lab.load.scenario import MIXES, WireProtocol, generate_scenario
from stepstream.lab.load.site import read_site


@pytest.fixture(scope="module")
def scenario_by_mix():
    return {mix: generate_scenario(read_site(), 7, 10, mix) for mix in MIXES}


def without_protocols(requests):
    return tuple(replace(request, protocol=WireProtocol.HTTP) for request in requests)


def test_the_protocol_mix_changes_only_the_protocols_of_the_requests(scenario_by_mix):
    http, gearman, mixed = (
        without_protocols(scenario.requests) for scenario in scenario_by_mix.values()
    )
    assert http == gearman == mixed
    assert len(http) > 100


def test_the_protocol_mix_does_not_change_workers_and_faults(scenario_by_mix):
    workers_and_faults = {
        (scenario.worker_specs, scenario.faults) for scenario in scenario_by_mix.values()
    }
    assert len(workers_and_faults) == 1


def test_a_mixed_scenario_has_clients_and_workers_of_both_protocols(scenario_by_mix):
    mixed = scenario_by_mix["mixed"]
    assert {request.protocol for request in mixed.requests} == set(WireProtocol)
    assert set(mixed.worker_protocols) == set(WireProtocol)


def test_another_seed_draws_other_requests(scenario_by_mix):
    other_scenario = generate_scenario(read_site(), 8, 10, "http")
    assert other_scenario.requests != scenario_by_mix["http"].requests


def test_an_unknown_mix_is_rejected():
    with pytest.raises(ConfigurationError, match="--mix=smoke"):
        generate_scenario(read_site(), 1, 5, "smoke")
