"""HTTP requests of clients, as bytes."""

from stepstream.http.codec import write_request


def job_request(
    request_id="00000000000000aa", path="/revalue", method="POST", body=b"{}", **headers
):
    """Return a client's request; `Header_Name` sets a header, None leaves one out."""
    fields = {
        "Host": "x",
        "Request-Id": request_id,
        "Tenant": "tatra-invest",
        "Request-Timeout-Ms": "5000",
    }
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    present = {name: value for name, value in fields.items() if value is not None}
    return write_request(method, path, present, body)
