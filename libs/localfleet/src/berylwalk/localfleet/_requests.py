"""HTTP requests to the processes of a local fleet."""

import httpcore
import msgspec

from berylwalk.localfleet._settings_files import ADMIN_TOKEN


def admin_request(
    method: str,
    url: str,
    content: bytes = b"",
    headers: dict[str, str] | None = None,
) -> httpcore.Response:
    """Send a request with the administration token of a local fleet."""
    headers = {"Authorization": f"Bearer {ADMIN_TOKEN}"} | (headers or {})
    timeout = {"connect": 2.0, "read": 10.0, "write": 2.0, "pool": 2.0}
    return httpcore.request(
        method,
        url,
        headers=headers,
        content=content,
        extensions={"timeout": timeout},
    )


def post_json(url: str, value: object) -> httpcore.Response:
    """Send a value as JSON, for example to the control API of a stand-in."""
    return admin_request("POST", url, msgspec.json.encode(value))
