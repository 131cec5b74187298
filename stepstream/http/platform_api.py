"""The platform's API in one place, for modules that use more than one side of it."""

from stepstream.http.client_api import ClientApi
from stepstream.http.discovery_api import DiscoveryApi, EndpointAnswer
from stepstream.http.worker_api import (
    HEALTH_CHECK_PATH,
    LOAD_REPORT_PATH,
    NOTIFICATION_PATH,
    call_bytes,
    cancel_bytes,
    health_check_bytes,
    notification_body,
    read_call_answer,
    read_notification,
)

__all__ = [
    "HEALTH_CHECK_PATH",
    "LOAD_REPORT_PATH",
    "NOTIFICATION_PATH",
    "ClientApi",
    "DiscoveryApi",
    "EndpointAnswer",
    "call_bytes",
    "cancel_bytes",
    "health_check_bytes",
    "notification_body",
    "read_call_answer",
    "read_notification",
]
