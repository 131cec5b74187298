"""The emulated HTTP worker: its load reports are those that the dispatcher reads."""

from types import SimpleNamespace

import msgspec
import pytest

from stepstream.config.fields import SettingsFields, flatten
from stepstream.config.settings_reader import read_settings
from stepstream.http.load_reports import LoadReportReader
from stepstream.lab.emulator.clock import Clock
from stepstream.lab.emulator.http_worker import HttpWorker
from stepstream.lab.emulator.worker_model import Task
from stepstream.lab.load.dispatcher_settings import dispatcher_settings
from stepstream.lab.load.scenario import generate_scenario
from stepstream.lab.load.site import LoadReports, read_site
from stepstream.lab.verification.verifier import Verifier

FULL = {"queue": 1.0, "free_slots": 0.0}
"""The load report of a worker of two slots with three tasks."""


@pytest.fixture(
    params=[LoadReports.HEALTH_CHECKS, LoadReports.RESPONSES], ids=["health-checks", "responses"]
)
def reporting(request, make_worker_model):
    """A full worker at a site that reports load in this way, and the dispatcher's reader."""
    site = msgspec.structs.replace(
        read_site(name="probed"), load_reports=request.param, load_report_interval_ms=0.0
    )
    scenario = generate_scenario(site, 1, 5, "http")
    fields = SettingsFields.from_pairs(flatten(dispatcher_settings(scenario), "", {}))
    worker = HttpWorker(make_worker_model(cores=2), Clock(), Verifier(scenario))
    for task_id in ("a", "b", "c"):
        worker.model.submit(worker.clock.now_us(), Task(task_id, 10**9))
    return SimpleNamespace(
        worker=worker,
        reader=LoadReportReader(read_settings(fields), pytest.fail),
        report_in_responses=FULL if request.param is LoadReports.RESPONSES else None,
    )


def test_the_dispatcher_reads_the_load_of_a_health_check(reporting):
    text = reporting.worker.load_text().encode()
    assert reporting.reader.read_health_check(text) == FULL


def test_the_dispatcher_reads_the_load_of_a_response_where_the_site_has_it(reporting):
    header = reporting.worker.load_header().get("Server-Load")
    assert reporting.reader.read_header(header) == reporting.report_in_responses


def test_the_dispatcher_reads_the_load_of_a_notification_where_the_site_has_it(reporting):
    report = reporting.worker.current_load_report()
    assert reporting.reader.read_notification(report) == reporting.report_in_responses
