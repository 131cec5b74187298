"""Samples of what goes to workers and to discovery, and of what is read from them."""

import json

from golden.fronts.configurations import FOLDER, LIMITS, Sample, module_settings
from golden.fronts.http_requests import INPUTS as HTTP_INPUTS
from golden.fronts.http_requests import discovery_answer
from golden.fronts.http_samples import load_report_reader
from golden.recorded_data import bytes_of, read_inputs, text_of, to_json

from stepstream.core.requests import Payload
from stepstream.http import worker_api
from stepstream.http.codec import Message, Parser, ProtocolError
from stepstream.http.destination_set import DestinationSet
from stepstream.http.discovery_api import DiscoveryApi
from stepstream.http.exchange import HttpExchange

INPUTS = read_inputs(FOLDER, "wire")
WORKER_ANSWERS = {name: bytes_of(text) for name, text in INPUTS["worker_answers"].items()}
ENDPOINT_LISTS = INPUTS["endpoint_lists"]
REQUESTS = {name: bytes_of(text) for name, text in HTTP_INPUTS["accepted_requests"].items()}
WORKER_HOST = "127.0.0.1:9000"
DISCOVERY_HOST = "127.0.0.1:8500"
REQUEST_ID = "00000000000000aa"


def discovery_api() -> DiscoveryApi:
    """Return the dispatcher's side of discovery's protocol."""
    return DiscoveryApi(module_settings())


def call_bytes(path: str, body: str, key: str, timeout_ms: int) -> str:
    """Return a call to a worker."""
    payload = Payload(path, bytes_of(body), key)
    return text_of(worker_api.call_bytes(WORKER_HOST, REQUEST_ID, payload, timeout_ms))


def cancel_bytes() -> str:
    """Return the cancellation of a call."""
    return text_of(worker_api.cancel_bytes(WORKER_HOST, REQUEST_ID))


def health_check_bytes(mode: str) -> str:
    """Return a health check under this mode of load reports."""
    reader, _ = load_report_reader(mode)
    path = worker_api.HEALTH_CHECK_PATH
    if reader.in_health_checks:
        path = worker_api.LOAD_REPORT_PATH
    return text_of(worker_api.health_check_bytes(WORKER_HOST, path))


def watch_bytes(version: int, wait_seconds: float) -> str:
    """Return the request that waits for a newer endpoint list."""
    return text_of(discovery_api().watch_bytes(DISCOVERY_HOST, version, wait_seconds))


def read_endpoint_list(data: bytes) -> object:
    """Return the endpoint list of discovery's answer, read from the bytes of its connection."""
    parser = Parser(LIMITS, answers=True, max_body_bytes=LIMITS.sizes.endpoint_list_bytes)
    parser.feed(data)
    try:
        message = parser.next() or parser.end()
        if message is None:
            return None
        return endpoint_list_values(discovery_api().read_answer(message))
    except ProtocolError as error:
        return {"error": str(error)}


def endpoint_list_values(targets: object) -> dict:
    """Return an endpoint list's values under the names of the recorded files."""
    return {
        "version": targets.version,
        "kind": targets.update.kind.value,
        "rows": [endpoint_values(endpoint) for endpoint in targets.update.endpoints],
        "addresses": to_json(targets.addresses),
    }


def endpoint_values(endpoint: object) -> list:
    """Return an endpoint's values in the order of the recorded files."""
    return [
        endpoint.worker_id,
        endpoint.zone,
        endpoint.worker_kind,
        endpoint.cell,
        endpoint.state.value,
        endpoint.weight,
        endpoint.started_us,
    ]


def persisted_list(data: dict) -> object:
    """Return the list that is kept for a hot restart, in discovery's JSON form."""
    destinations = DestinationSet()
    destinations.apply(discovery_api().read(data, persisted=True))
    return destinations.export_list()


def read_load_report(place: str, mode: str, given: object) -> dict:
    """Return what is read from a load report in this place."""
    reader, complaints = load_report_reader(mode)
    readers = {
        "header": reader.read_header,
        "news": reader.read_notification,
        "probe": reader.read_health_check,
    }
    return {"report": readers[place](given), "complaints": len(complaints)}


def call_result(data: bytes, *, request_written: bool = True) -> dict:
    """Return what the dispatcher concludes from a worker's answer; the connection ends after it."""
    exchange = HttpExchange(LIMITS)
    if request_written:
        exchange.on_request_written()
    if data:
        exchange.receive(data)
    if not exchange.is_over:
        exchange.receive(b"")
    return {
        "taken": exchange.result is None,
        "result": to_json(exchange.result),
        "reusable": exchange.connection_reusable,
        "load": exchange.load_report_text,
    }


def read_messages(data: bytes, *, answers: bool) -> list[dict]:
    """Return every message of a connection, and the status of the fault that ended it."""
    parser = Parser(LIMITS, answers=answers)
    found = []
    parser.feed(data)
    try:
        while (message := parser.next()) is not None:
            found.append(message_values(message))
        if (message := parser.end()) is not None:
            found.append(message_values(message))
    except ProtocolError as error:
        found.append({"status of the fault": error.status})
    return found


def message_values(message: Message) -> dict:
    """Return a message's values under the names of the recorded files."""
    return {
        "first": [message.method, message.target, message.status],
        "headers": message.headers,
        "body": text_of(message.body),
        "keep_alive": message.keep_alive,
    }


def worker_samples() -> dict[str, Sample]:
    """Return the samples of calls, health checks and workers' answers."""
    samples: dict[str, Sample] = {
        "give up": cancel_bytes,
        "call answer/nothing written": lambda: call_result(b"", request_written=False),
    }
    for name, call in INPUTS["calls"].items():
        samples[f"call/{name}"] = lambda call=call: call_bytes(**call)
    for mode in INPUTS["load_report_modes"]:
        samples[f"probe/{mode}"] = lambda mode=mode: health_check_bytes(mode)
    for name, data in WORKER_ANSWERS.items():
        samples[f"call answer/{name}"] = lambda data=data: call_result(data)
        samples[f"message/answer {name}"] = lambda data=data: read_messages(data, answers=True)
    for name, data in REQUESTS.items():
        samples[f"message/request {name}"] = lambda data=data: read_messages(data, answers=False)
    return samples


def discovery_samples() -> dict[str, Sample]:
    """Return the samples of discovery's requests and answers."""
    complete = ENDPOINT_LISTS["complete"]
    to_the_end = b"HTTP/1.0 200 OK\r\n\r\n" + json.dumps(complete).encode()
    chunked = bytes_of(INPUTS["chunked_list_answer"])
    samples: dict[str, Sample] = {
        "list/whole": lambda: text_of(discovery_api().fetch_bytes(DISCOVERY_HOST)),
        "list answer/500": lambda: read_endpoint_list(discovery_answer(complete, 500)),
        "list answer/to the end": lambda: read_endpoint_list(to_the_end),
        "list answer/chunked": lambda: read_endpoint_list(chunked),
    }
    for name, watch in INPUTS["list_watches"].items():
        samples[f"list/{name}"] = lambda watch=watch: watch_bytes(**watch)
    for name, data in ENDPOINT_LISTS.items():
        answer = discovery_answer(data)
        samples[f"list answer/{name}"] = lambda answer=answer: read_endpoint_list(answer)
    for name in INPUTS["persisted_lists"]:
        samples[f"list kept/{name}"] = lambda name=name: persisted_list(ENDPOINT_LISTS[name])
    return samples


def load_report_samples() -> dict[str, Sample]:
    """Return the samples of load reports in every form and place, under every mode."""
    texts = INPUTS["load_report_texts"]
    bodies = [bytes_of(text) for text in [*INPUTS["load_report_bodies"], *texts]]
    samples: dict[str, Sample] = {}
    for mode in INPUTS["load_report_modes"]:
        cases = [("header", text, repr(text)) for text in texts]
        cases += [("news", given, json.dumps(given)) for given in INPUTS["load_report_objects"]]
        cases += [("probe", body, repr(body)) for body in bodies]
        for place, given, name in cases:
            case = place, mode, given
            samples[f"report/{mode}/{place}/{name}"] = lambda case=case: read_load_report(*case)
    return samples


def wire_samples() -> dict[str, Sample]:
    """Return every sample of what goes to and comes from workers and discovery."""
    return worker_samples() | discovery_samples() | load_report_samples()
