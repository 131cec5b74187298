"""Compare the state that other processes read with the bytes recorded in tests/golden/state."""

import pytest
from golden import state_samples as golden
from golden.recorded_data import as_json
from golden.state.membership_datagrams import receive_through_driver, send_through_driver
from golden.state.membership_form import CLUSTER, MEMBERSHIP


def recorded_cases(part):
    return [
        pytest.param(form, name, id=f"{form.name}-{name}")
        for form in golden.FORMS
        for name in golden.read_recorded(form.name)[part]
    ]


@pytest.mark.parametrize(("form", "name"), recorded_cases("samples"))
def test_a_sample_is_written_as_the_recorded_bytes(form, name):
    assert (
        form.write(form.samples()[name]).hex() == golden.read_recorded(form.name)["samples"][name]
    )


@pytest.mark.parametrize(("form", "name"), recorded_cases("samples"))
def test_the_recorded_bytes_are_read_as_the_sample_and_written_unchanged(form, name):
    data = bytes.fromhex(golden.read_recorded(form.name)["samples"][name])
    read = form.read(data)
    assert read == form.samples()[name]
    assert form.write(read) == data


@pytest.mark.parametrize(("form", "name"), recorded_cases("refused"))
def test_malformed_data_is_rejected_with_the_recorded_reason(form, name):
    recorded = golden.read_recorded(form.name)["refused"][name]
    assert golden.rejection_reason(form, bytes.fromhex(recorded["data"])) == recorded["reason"]


@pytest.mark.parametrize(("form", "name"), recorded_cases("tolerated"))
def test_data_in_another_accepted_form_is_read_and_written_as_recorded(form, name):
    recorded = golden.read_recorded(form.name)["tolerated"][name]
    assert form.write(form.read(bytes.fromhex(recorded["data"]))).hex() == recorded["written"]


@pytest.mark.parametrize("form", [pytest.param(form, id=form.name) for form in golden.FORMS])
def test_every_sample_and_malformed_case_is_recorded(form):
    recorded = golden.read_recorded(form.name)
    assert set(recorded["samples"]) == set(form.samples())
    assert set(recorded["refused"]) == set(form.malformed())
    assert set(recorded["tolerated"]) == set(form.tolerated())


def test_the_driver_sends_the_recorded_datagrams():
    recorded = golden.read_recorded("fleet")["samples"]
    samples = MEMBERSHIP.samples()
    sent = send_through_driver(list(samples.values()))
    assert dict(zip(samples, (data.hex() for data in sent), strict=True)) == recorded


def test_the_driver_accepts_the_recorded_datagrams_and_drops_the_malformed_ones():
    recorded = golden.read_recorded("fleet")
    valid = [bytes.fromhex(data) for data in recorded["samples"].values()]
    malformed = [bytes.fromhex(case["data"]) for case in recorded["refused"].values()]
    received, dropped = receive_through_driver(CLUSTER, [*valid, *malformed])
    assert received == list(MEMBERSHIP.samples().values())
    assert dropped == len(malformed)


@pytest.mark.parametrize("name", golden.TRANSCRIPTS)
def test_a_transcript_equals_the_recorded_one(name):
    assert as_json(golden.TRANSCRIPTS[name]()) == golden.read_recorded(name)
