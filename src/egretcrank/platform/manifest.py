"""Parser for the operator's configuration as the platform stores it."""

from datetime import timedelta
from typing import Annotated

import msgspec
from returns.result import Result

from egretcrank.errors.kinds import Problem
from egretcrank.platform.calls import decode_body
from egretcrank.scheduling.catalog import (
    MAX_STRETCH,
    MAX_TARGET_LATENCY,
    Catalog,
    Limits,
    Queue,
    Service,
)
from egretcrank.wire.bounds import Amount, Count, Integer

OPERATOR_TOPIC = "keyed.op"
OPERATOR_PARTITION = 0
CONFIGURATION_KEY = "config"
MAX_TARGET_LATENCY_MILLISECONDS = MAX_TARGET_LATENCY // timedelta(milliseconds=1)

Stretch = Annotated[float, msgspec.Meta(ge=0, le=MAX_STRETCH)]
TargetLatency = Annotated[float, msgspec.Meta(ge=0, le=MAX_TARGET_LATENCY_MILLISECONDS)]


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


def _build_catalog(manifest: _Manifest) -> Catalog:
    queues = {
        route.name: Queue(
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
        for route in manifest.routes
    }
    services = {
        service.name: Service(
            service.name, service.health_path, service.admission_control, service.spare
        )
        for service in manifest.services
    }
    return Catalog(
        manifest.version, queues, services, Limits(manifest.limits.body_bytes)
    )
