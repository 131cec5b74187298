"""Fixtures of the lab's tests: worker models, a scenario and its verifier."""

from dataclasses import replace

import numpy as np
import pytest

from stepstream.lab.emulator.worker_model import WorkerModel, WorkerSpec
from stepstream.lab.load.scenario import generate_scenario
from stepstream.lab.load.site import read_site
from stepstream.lab.verification.observations import RequestKey
from stepstream.lab.verification.verifier import Verifier

START_US = 1_000_000_000
"""The time at which each worker model of these tests begins."""

SPEC = WorkerSpec(
    name="s",
    zone="east",
    kind="large",
    cell=0,
    cores=2,
    speed=1.0,
    queue_capacity=2,
    initial_capacity_fraction=0.5,
    slow_start_us=1_000_000,
)


@pytest.fixture
def start_us():
    return START_US


@pytest.fixture
def make_worker_model():
    """A function that builds a worker model of two cores; its arguments change the spec."""

    def make(**changes):
        return WorkerModel(replace(SPEC, **changes), np.random.default_rng(1), START_US)

    return make


@pytest.fixture
def scenario():
    """Five seconds of the small site."""
    return generate_scenario(read_site(), seed=1, seconds=5, mix="http")


@pytest.fixture
def verifier(scenario):
    return Verifier(scenario)


@pytest.fixture
def submit(verifier):
    """A function that submits the scenario's first job of a class and returns its request key."""

    def submit_first_of(class_name):
        scenario = verifier.scenario
        names = [job_class.name for job_class in scenario.site.job_classes]
        planned = next(
            request for request in scenario.requests if names[request.class_index] == class_name
        )
        verifier.on_submission(planned.number)
        return RequestKey(planned.number, 0)

    return submit_first_of
