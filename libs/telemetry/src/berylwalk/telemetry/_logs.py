"""Logging through absl, one JSON object per line."""

import logging as standard_logging
import time
from enum import IntEnum

import msgspec
from absl import flags, logging

FIELDS_ATTRIBUTE = "berylwalk_fields"
LIBRARY_LOGGERS = ("uvicorn", "uvicorn.error", "uvicorn.access")


class Level(IntEnum):
    """Log levels, with the numeric values of absl."""

    DEBUG = logging.DEBUG
    INFO = logging.INFO
    WARNING = logging.WARNING
    ERROR = logging.ERROR


class JsonFormatter(standard_logging.Formatter):
    """Formatter of log records as JSON lines.

    Parameters
    ----------
    node_id : str
        Node id in every line.
    """

    def __init__(self, node_id: str) -> None:
        super().__init__()
        self._node_id = node_id
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return a record as one JSON line."""
        standard_fields: dict[str, object] = {
            "time": _utc_time(record.created),
            "level": record.levelname.lower(),
            "message": record.getMessage(),
            "node": self._node_id,
        }
        fields = getattr(record, FIELDS_ATTRIBUTE, {})
        # The standard fields come first and cannot be overridden.
        line = standard_fields | fields | standard_fields
        if record.exc_info and record.exc_info[0] is not None:
            line["exception"] = self.formatException(record.exc_info)
        return self._encoder.encode(line).decode()


def configure_logging(node_id: str, level: Level = Level.INFO) -> None:
    """Write the logs of this process and its libraries to stderr as JSON lines.

    Parameters
    ----------
    node_id : str
        Node id in every line.
    level : Level
        Minimum level that is written.
    """
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(node_id))
    if not flags.FLAGS.is_parsed():
        # absl prints a plain-text warning for unparsed flags; the daemons use
        # argparse.
        flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(int(level))
    for name in LIBRARY_LOGGERS:
        _propagate_to_root(standard_logging.getLogger(name))


def _propagate_to_root(logger: standard_logging.Logger) -> None:
    # A logger that a library configured itself bypasses the JSON handler.
    logger.handlers.clear()
    logger.propagate = True


def log_event(
    level: Level, event: str, /, *, request_id: str | None = None, **fields: object
) -> None:
    """Log an event with structured fields.

    Parameters
    ----------
    level : Level
        Severity.
    event : str
        Constant name of the event, such as ``"request-refused"``.
    request_id : str, optional
        Id of the request that the event belongs to.
    **fields : object
        Values of the fields; those without a JSON type are written as strings.
    """
    logger = logging.get_absl_logger()
    standard_level = logging.converter.absl_to_standard(int(level))
    if not logger.isEnabledFor(standard_level):
        return
    if request_id is not None:
        fields = {"request_id": request_id, **fields}
    logger.log(standard_level, "%s", event, extra={FIELDS_ATTRIBUTE: fields})


def _utc_time(seconds: float) -> str:
    whole_seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    return f"{whole_seconds}.{int(seconds % 1 * 1000):03d}Z"
