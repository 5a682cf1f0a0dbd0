"""Parser for the operator's configuration as the platform stores it."""

import re
from collections.abc import Iterator
from datetime import timedelta
from functools import cache
from itertools import islice
from typing import Annotated, Any, NamedTuple, get_args, get_origin

import msgspec
from returns.result import Failure, Result, Success

from egretcrank.errors.kinds import ErrorKind, Problem
from egretcrank.platform.calls import decode_body
from egretcrank.scheduling.catalog import (
    MAX_STRETCH,
    MAX_TARGET_LATENCY,
    Catalog,
    Limits,
    Queue,
    Service,
)
from egretcrank.wire.bounds import MAX_LOGGED_CHARACTERS, Amount, Count, Integer
from egretcrank.wire.nesting import DECODE_ERRORS

OPERATOR_TOPIC = "keyed.op"
OPERATOR_PARTITION = 0
CONFIGURATION_KEY = "config"
MAX_TARGET_LATENCY_MILLISECONDS = MAX_TARGET_LATENCY // timedelta(milliseconds=1)
# Errors that are listed of one configuration; 10 MB can hold millions.
MAX_LISTED_ERRORS = 1000

Stretch = Annotated[float, msgspec.Meta(ge=0, le=MAX_STRETCH)]
TargetLatency = Annotated[float, msgspec.Meta(ge=0, le=MAX_TARGET_LATENCY_MILLISECONDS)]

_VALIDATION_ERROR = re.compile(
    r"Expected (?P<expected>.+?)(?:, got (?P<type>.+?))?(?: - at `\$(?P<path>.*)`)?"
)


class Manifest(NamedTuple):
    """Entries of a configuration as they are listed.

    Unlike ``Catalog`` it has those that a later entry of the same name replaces, and
    ``max_attempts`` as given.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    service: str = ""
    priority: Integer = 0
    max_attempts: Integer = 1
    stretch: Stretch = 1.0
    target_latency_ms: TargetLatency = 0.0
    # Present if the advice service chooses the hosts of the queue.
    advice: msgspec.Raw | None = None


class _Service(msgspec.Struct):
    name: str
    health_path: str = ""
    admission_control: bool = False
    spare: bool = False


class _Limits(msgspec.Struct, frozen=True):
    body_bytes: Amount = 262144


class _Manifest(msgspec.Struct):
    version: Count
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = _Limits()


def parse_manifest(value: bytes) -> Result[Catalog, Problem]:
    """Parse a configuration; an invalid one is rejected as a whole."""
    return decode_body(value, _Manifest).map(_build_catalog)


def parse_entries(value: bytes) -> Result[Manifest, tuple[Problem, ...]]:
    """Parse a configuration; the failure has every error up to MAX_LISTED_ERRORS.

    It succeeds if and only if ``parse_manifest`` does. A body that is not JSON has one
    error, whose location is empty.
    """
    match decode_body(value, _Manifest):
        case Success(manifest):
            return Success(_build_entries(manifest))
        case Failure(_):
            try:
                msgspec.json.decode(value)
            except msgspec.ValidationError:
                # JSON with an integer of thousands of digits.
                pass
            except DECODE_ERRORS as error:
                kind = ErrorKind.INVALID_MESSAGE
                return Failure((Problem(kind, str(error), "", "a JSON document"),))
            errors = _find_errors(msgspec.Raw(value), _Manifest, "")
            return Failure(tuple(islice(errors, MAX_LISTED_ERRORS)))
    raise AssertionError("unreachable")


def _build_entries(manifest: _Manifest) -> Manifest:
    return Manifest(
        manifest.version,
        tuple(
            _build_queue(route)._replace(max_attempts=route.max_attempts)
            for route in manifest.routes
        ),
        tuple(map(_build_service, manifest.services)),
        Limits(manifest.limits.body_bytes),
    )


def _build_catalog(manifest: _Manifest) -> Catalog:
    queues = {route.name: _build_queue(route) for route in manifest.routes}
    services = {service.name: _build_service(service) for service in manifest.services}
    return Catalog(
        manifest.version, queues, services, Limits(manifest.limits.body_bytes)
    )


def _build_queue(route: _Route) -> Queue:
    return Queue(
        route.name,
        route.host,
        route.path_prefix,
        route.service,
        route.priority,
        max(1, route.max_attempts),
        route.stretch,
        timedelta(milliseconds=route.target_latency_ms),
        route.advice is not None,
    )


def _build_service(service: _Service) -> Service:
    return Service(
        service.name, service.health_path, service.admission_control, service.spare
    )


@cache
def _get_decoder(value_type: Any) -> msgspec.json.Decoder[Any]:
    return msgspec.json.Decoder(value_type)


def _find_errors(raw: msgspec.Raw, value_type: Any, where: str) -> Iterator[Problem]:
    """Find the errors of a value by decoding its parts with their own types.

    A decoder stops at the first error of a value.
    """
    try:
        _get_decoder(value_type).decode(raw)
    except DECODE_ERRORS as error:
        has_errors = False
        for problem in _find_part_errors(raw, value_type, where):
            has_errors = True
            yield problem
        # Not an error of a part, or one of a field that a later one of its name hides.
        if not has_errors:
            yield _build_error(raw, error, where)


def _find_part_errors(
    raw: msgspec.Raw, value_type: Any, where: str
) -> Iterator[Problem]:
    if get_origin(value_type) is list:
        (row_type,) = get_args(value_type)
        for number, row in enumerate(_decode_parts(raw, list[msgspec.Raw], [])):
            yield from _find_errors(row, row_type, f"{where}[{number}]")
    elif isinstance(value_type, type) and issubclass(value_type, msgspec.Struct):
        parts = _decode_parts(raw, dict[str, msgspec.Raw], None)
        if parts is None:
            return
        for field in msgspec.structs.fields(value_type):
            path = f"{where}.{field.name}" if where else field.name
            if field.name in parts:
                yield from _find_errors(parts[field.name], field.type, path)
            elif field.required:
                expected = f"the field {field.name}"
                yield Problem(ErrorKind.INVALID_MESSAGE, "is missing", path, expected)


def _decode_parts(raw: msgspec.Raw, parts_type: Any, default: Any) -> Any:
    try:
        return _get_decoder(parts_type).decode(raw)
    except DECODE_ERRORS:
        return default


def _build_error(raw: msgspec.Raw, error: Exception, where: str) -> Problem:
    match = _VALIDATION_ERROR.fullmatch(str(error))
    if match is None:
        return Problem(ErrorKind.INVALID_MESSAGE, str(error), where or "$")
    text = bytes(memoryview(raw)[:MAX_LOGGED_CHARACTERS]).decode("utf-8", "replace")
    detail = f"{text} is not valid" if match["type"] is None else f"got {match['type']}"
    path = f"{where}{match['path'] or ''}".removeprefix(".")
    return Problem(
        ErrorKind.INVALID_MESSAGE,
        detail.replace("`", ""),
        path or "$",
        match["expected"].replace("`", ""),
    )
