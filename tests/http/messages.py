"""HTTP requests of clients, as bytes."""

from stepstream.http.codec import write_request


def job_request(
    request_id="00000000000000aa", path="/revalue", method="POST", body=b"{}", **headers
):
    """Return a client's request; the keyword `Header_Name` sets a header, None omits it."""
    all_headers = {
        "Host": "x",
        "Request-Id": request_id,
        "Tenant": "tatra-invest",
        "Request-Timeout-Ms": "5000",
    }
    all_headers.update({name.replace("_", "-"): value for name, value in headers.items()})
    sent_headers = {name: value for name, value in all_headers.items() if value is not None}
    return write_request(method, path, sent_headers, body)
