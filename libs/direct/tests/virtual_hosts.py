"""Addresses of the routers in virtual networks, which are found by their names."""

from ipaddress import IPv4Address
from zlib import crc32

FIRST_HOST = IPv4Address("10.0.0.0")
HOSTS = 2**24
_names_by_host = {}


def host_of(name):
    """Return the address of a router, the same in each run."""
    host = str(FIRST_HOST + crc32(name.encode()) % HOSTS)
    assert _names_by_host.setdefault(host, name) == name
    return host


def name_of(host):
    """Return the name of the router at an address."""
    return _names_by_host[host]
