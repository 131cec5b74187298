"""Forms of state that other processes read, against the bytes kept in tests/golden/state."""

import importlib.util
import sys
from pathlib import Path

import pytest

SAMPLES = Path(__file__).resolve().parent / "golden" / "state_samples.py"


def load_samples():
    spec = importlib.util.spec_from_file_location("golden_state_samples", SAMPLES)
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


golden = load_samples()


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
    assert golden.reason(form, bytes.fromhex(kept["data"])) == kept["reason"]


@pytest.mark.parametrize("form", [pytest.param(form, id=form.name) for form in golden.FORMS])
def test_every_sample_and_malformed_case_is_recorded(form):
    kept = golden.recorded(form.name)
    assert set(kept["samples"]) == set(form.samples())
    assert set(kept["refused"]) == set(form.malformed())


@pytest.mark.parametrize("name", golden.TRANSCRIPTS)
def test_a_transcript_is_as_recorded(name):
    assert golden.as_recorded(golden.TRANSCRIPTS[name]()) == golden.recorded(name)
