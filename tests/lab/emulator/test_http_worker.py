"""The emulated HTTP worker: the dispatcher can read its load reports."""

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

LOAD_OF_FULL_WORKER = {"queue": 1.0, "free_slots": 0.0}
"""The load report, as the dispatcher reads it, of a worker of two slots with three tasks."""


@pytest.fixture(
    params=[LoadReports.HEALTH_CHECKS, LoadReports.RESPONSES], ids=["health-checks", "responses"]
)
def reporting_setup(request, make_worker_model):
    """A worker with all slots in use, and the dispatcher's reader of its site's load reports.

    `report_in_responses` is what responses and notifications report; None if they report nothing.
    """
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
        report_in_responses=LOAD_OF_FULL_WORKER if request.param is LoadReports.RESPONSES else None,
    )


def test_the_dispatcher_reads_the_load_report_of_a_health_check(reporting_setup):
    text = reporting_setup.worker.load_text().encode()
    assert reporting_setup.reader.read_health_check(text) == LOAD_OF_FULL_WORKER


def test_a_response_carries_a_load_report_only_if_the_site_reports_in_responses(reporting_setup):
    header = reporting_setup.worker.load_header().get("Server-Load")
    assert reporting_setup.reader.read_header(header) == reporting_setup.report_in_responses


def test_the_dispatcher_reads_a_notifications_load_report_only_if_the_site_reports_in_responses(
    reporting_setup,
):
    report = reporting_setup.worker.current_load_report()
    assert reporting_setup.reader.read_notification(report) == reporting_setup.report_in_responses
