"""The dispatcher can read the settings that are derived from a scenario."""

import msgspec
import pytest

from stepstream.config.fields import SettingsFields, flatten
from stepstream.config.settings_reader import read_settings
from stepstream.lab.load.dispatcher_settings import dispatcher_settings
from stepstream.lab.load.scenario import generate_scenario
from stepstream.lab.load.site import LoadReports, read_site
from stepstream.model.settings import Effect


def read_settings_of(site):
    scenario = generate_scenario(site, 1, 5, "http")
    return read_settings(SettingsFields.from_pairs(flatten(dispatcher_settings(scenario), "", {})))


@pytest.fixture(scope="module")
def small_settings():
    return read_settings_of(read_site(name="small"))


@pytest.fixture(
    scope="module",
    params=[LoadReports.HEALTH_CHECKS, LoadReports.RESPONSES],
    ids=["health-checks", "responses"],
)
def probed_settings(request):
    """The settings of the probed site, for each way in which workers report load."""
    site = msgspec.structs.replace(read_site(name="probed"), load_reports=request.param)
    return read_settings_of(site)


def test_the_dispatcher_reads_the_job_classes(small_settings):
    assert small_settings.class_names == ("revalue", "price-check", "nav-publish")


def test_the_dispatcher_expects_workers_to_report_the_start_of_a_job(small_settings):
    assert small_settings.reports_start


def test_the_dispatcher_does_not_poll_a_pushed_endpoint_list(probed_settings):
    assert not probed_settings.polls_endpoints


def test_a_job_class_with_a_side_effect_is_read_as_not_idempotent(probed_settings):
    assert probed_settings.classes[-1].effect is Effect.NOT_IDEMPOTENT
