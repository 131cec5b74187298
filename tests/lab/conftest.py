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
"""The time at which each worker model starts, on the lab's clock in microseconds."""

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
    """Return a function that builds a worker model; its arguments replace fields of `SPEC`."""

    def build_worker_model(**changed_fields):
        return WorkerModel(replace(SPEC, **changed_fields), np.random.default_rng(1), START_US)

    return build_worker_model


@pytest.fixture
def scenario():
    """Return a scenario of five seconds at the small site."""
    return generate_scenario(read_site(), seed=1, seconds=5, mix="http")


@pytest.fixture
def verifier(scenario):
    return Verifier(scenario)


@pytest.fixture
def submit_job(verifier):
    """Return a function that submits the first job of a class and returns its request key."""

    def submit_first_job(class_name):
        scenario = verifier.scenario
        class_names = [job_class.name for job_class in scenario.site.job_classes]
        planned = next(
            request
            for request in scenario.requests
            if class_names[request.class_index] == class_name
        )
        verifier.on_submission(planned.number)
        return RequestKey(planned.number, 0)

    return submit_first_job
