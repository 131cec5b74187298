"""Forms of state that other processes read, against the bytes kept in tests/golden/state."""

import pytest
from golden import state_samples as golden
from golden.recorded_data import as_json
from golden.state.membership_datagrams import receive_through_driver, send_through_driver
from golden.state.membership_form import CLUSTER, MEMBERSHIP


def cases(part):
    return [
        pytest.param(form, name, id=f"{form.name}-{name}")
        for form in golden.FORMS
        for name in golden.recorded(form.name)[part]
    ]


@pytest.mark.parametrize(("form", "name"), cases("samples"))
def test_writing_gives_the_recorded_bytes(form, name):
    assert form.write(form.samples()[name]).hex() == golden.recorded(form.name)["samples"][name]


@pytest.mark.parametrize(("form", "name"), cases("samples"))
def test_reading_the_recorded_bytes_gives_an_equal_object_that_writes_them_again(form, name):
    data = bytes.fromhex(golden.recorded(form.name)["samples"][name])
    read = form.read(data)
    assert read == form.samples()[name]
    assert form.write(read) == data


@pytest.mark.parametrize(("form", "name"), cases("refused"))
def test_malformed_data_is_refused_for_the_recorded_reason(form, name):
    kept = golden.recorded(form.name)["refused"][name]
    assert golden.rejection_reason(form, bytes.fromhex(kept["data"])) == kept["reason"]


@pytest.mark.parametrize(("form", "name"), cases("tolerated"))
def test_data_that_is_written_otherwise_is_read_as_recorded(form, name):
    kept = golden.recorded(form.name)["tolerated"][name]
    assert form.write(form.read(bytes.fromhex(kept["data"]))).hex() == kept["written"]


@pytest.mark.parametrize("form", [pytest.param(form, id=form.name) for form in golden.FORMS])
def test_every_sample_and_malformed_case_is_recorded(form):
    kept = golden.recorded(form.name)
    assert set(kept["samples"]) == set(form.samples())
    assert set(kept["refused"]) == set(form.malformed())
    assert set(kept["tolerated"]) == set(form.tolerated())


def test_the_driver_sends_the_recorded_datagrams():
    kept = golden.recorded("fleet")["samples"]
    samples = MEMBERSHIP.samples()
    sent = send_through_driver(list(samples.values()))
    assert dict(zip(samples, (data.hex() for data in sent), strict=True)) == kept


def test_the_driver_takes_the_recorded_datagrams_and_drops_the_malformed_ones():
    kept = golden.recorded("fleet")
    good = [bytes.fromhex(data) for data in kept["samples"].values()]
    bad = [bytes.fromhex(case["data"]) for case in kept["refused"].values()]
    received, dropped = receive_through_driver(CLUSTER, [*good, *bad])
    assert received == list(MEMBERSHIP.samples().values())
    assert dropped == len(bad)


@pytest.mark.parametrize("name", golden.TRANSCRIPTS)
def test_a_transcript_is_as_recorded(name):
    assert as_json(golden.TRANSCRIPTS[name]()) == golden.recorded(name)
