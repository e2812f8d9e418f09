"""Exceptions raised by this package."""


class ConfigurationError(ValueError):
    """The telemetry settings are incomplete."""
