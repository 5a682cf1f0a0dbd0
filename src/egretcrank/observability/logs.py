"""Log output as JSON lines."""

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter


def configure_logging(process: str, level: str, stream: TextIO | None = None) -> None:
    """Write every log record as one JSON line, to standard error by default."""
    handler = logging.StreamHandler(stream or sys.stderr)
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
