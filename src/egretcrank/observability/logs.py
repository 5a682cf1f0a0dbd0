"""Log output as JSON lines."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def configure_logging(process: str, level: str) -> None:
    """Write every log record as one JSON line to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"process": process},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("urllib3").setLevel(logging.ERROR)
