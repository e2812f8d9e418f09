"""Why requests end, for logs and metrics, where more than one module says so."""

CALLER_LEFT = "caller-left"
"""The caller has disconnected."""
SLOW_READER = "slow-reader"
"""The response was ended because its caller reads too slowly."""
ROUTER_STOPPED = "router-stopped"
"""The response was ended because the process exits."""
ROUTER_STOPPING = "router-stopping"
"""The request was refused, since it can't end before the process does."""
VM_LIMIT = "vm-limit"
"""The request was refused to spare the VM of the router."""
NO_STATUS = 0
"""Logged instead of a status if the caller got no complete response."""
