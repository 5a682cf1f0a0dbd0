"""Settings of the daemons as data classes.

The ``Rule`` of a field defines how its text is parsed and which values are valid. The
parser and the settings reference are both derived from these rules.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from typing import Any, NamedTuple


class LogOutage(StrEnum):
    """Handling of requests that must not be repeated during a log outage."""

    REFUSE = "refuse"
    HOLD = "hold"


class Kind(StrEnum):
    """Type of a setting, which determines how its text is parsed."""

    TEXT = "text"
    ADDRESS = "address"
    ADDRESSES = "addresses"
    INTEGER = "integer"
    NUMBER = "number"
    SECONDS = "seconds"
    BOOLEAN = "boolean"
    NAMES = "names"
    LOG_OUTAGE = "refuse or hold"


class Rule(NamedTuple):
    """Type and valid range of a setting.

    The bounds apply to integers, numbers and seconds. ``environment`` is the variable
    that replaces the value of the file unless it is empty, if there is one.
    """

    kind: Kind
    meaning: str
    minimum: float = 0.0
    maximum: float = 1e12
    required: bool = False
    environment: str = ""


def setting(
    kind: Kind,
    meaning: str,
    default: Any = None,
    *,
    minimum: float = 0.0,
    maximum: float = 1e12,
    required: bool = False,
    environment: str = "",
) -> Any:
    """Declare a data class field with its rule and default."""
    rule = Rule(kind, meaning, minimum, maximum, required, environment)
    return field(default=default, metadata={"rule": rule})


def _seconds(value: float) -> timedelta:
    return timedelta(seconds=value)


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Section ``[process]``: identity and addresses of this process."""

    name: str = setting(Kind.TEXT, "Name of the process or host.", "", required=True)
    region: str = setting(Kind.TEXT, "Region of the host.", "local")
    failure_domain: str = setting(
        Kind.TEXT, "Failure domain of the host.", "", required=True
    )
    rack: str = setting(Kind.TEXT, "Rack of the host.", "")
    control_address: str = setting(
        Kind.ADDRESS, "Address for control messages.", "", required=True
    )
    request_address: str = setting(
        Kind.ADDRESS, "Address for forwarded requests.", "", required=True
    )
    announced_control_address: str = setting(
        Kind.ADDRESS, "Control address that others use, if it differs.", ""
    )
    announced_request_address: str = setting(
        Kind.ADDRESS, "Request address that others use, if it differs.", ""
    )
    metrics_address: str = setting(
        Kind.ADDRESS, "Address of a sidecar's metrics over HTTP; none if empty.", ""
    )
    log_level: str = setting(Kind.TEXT, "Lowest level that is logged.", "INFO")
    shutdown_seconds: timedelta = setting(
        Kind.SECONDS,
        "Longest wait for work in flight at shutdown.",
        _seconds(30),
        maximum=3600,
    )


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Section ``[log]``: the platform's log service."""

    address: str = setting(
        Kind.ADDRESS, "Address of the log service.", "", required=True
    )
    poll_seconds: timedelta = setting(
        Kind.SECONDS, "Longest wait of one read.", _seconds(1), minimum=0.01, maximum=60
    )
    retention_seconds: timedelta = setting(
        Kind.SECONDS,
        "Time for which the log service keeps records.",
        _seconds(86400),
        minimum=1,
    )
    outage_seconds: timedelta = setting(
        Kind.SECONDS,
        "Time without a successful read after which the log counts as down.",
        _seconds(2),
        minimum=0.1,
        maximum=600,
    )
    append_seconds: timedelta = setting(
        Kind.SECONDS,
        "Longest wait for an appended record to be read back.",
        _seconds(5),
        minimum=0.1,
        maximum=600,
    )
    hold_after_seconds: timedelta = setting(
        Kind.SECONDS,
        "Wait for the log after which a service with log_outage = hold goes on.",
        _seconds(1),
        minimum=0.05,
        maximum=600,
    )


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """Section ``[cluster]``: values that must be identical in all processes."""

    entries: tuple[str, ...] = setting(
        Kind.ADDRESSES, "Control addresses of all entries.", (), required=True
    )
    partitions: int = setting(
        Kind.INTEGER,
        "Number of partitions of keys and jobs.",
        16,
        minimum=1,
        maximum=65536,
    )
    shards: int = setting(
        Kind.INTEGER,
        "Number of work streams in the log.",
        4,
        minimum=1,
        maximum=4096,
    )
    announce_seconds: timedelta = setting(
        Kind.SECONDS,
        "Interval of announcements.",
        _seconds(1),
        minimum=0.05,
        maximum=60,
    )
    suspect_seconds: timedelta = setting(
        Kind.SECONDS,
        "Silence after which a member gets no new requests.",
        _seconds(2),
        minimum=0.1,
        maximum=600,
    )
    dead_seconds: timedelta = setting(
        Kind.SECONDS,
        "Silence after which a member counts as dead.",
        _seconds(6),
        minimum=0.2,
        maximum=3600,
    )
    session_seconds: timedelta = setting(
        Kind.SECONDS,
        "Length of an owner's session on a host.",
        _seconds(6),
        minimum=0.2,
        maximum=3600,
    )
    lease_seconds: timedelta = setting(
        Kind.SECONDS,
        "Length of a task lease on a worker.",
        _seconds(6),
        minimum=0.2,
        maximum=3600,
    )
    clock_drift: float = setting(
        Kind.NUMBER,
        "Largest relative difference in clock speed between two hosts.",
        0.01,
        maximum=0.5,
    )
    takeover_delay_seconds: timedelta = setting(
        Kind.SECONDS,
        "Delay between the claims of successive candidates.",
        _seconds(1),
        minimum=0.05,
        maximum=60,
    )
    takeovers: int = setting(
        Kind.INTEGER, "Takeovers that a process runs at a time.", 2, minimum=1
    )
    key_retention_seconds: timedelta = setting(
        Kind.SECONDS,
        "Time for which the outcome of an idempotency key is kept.",
        _seconds(86400),
        minimum=1,
    )
    checkpoint_record_seconds: timedelta = setting(
        Kind.SECONDS,
        "Shortest interval between recorded checkpoints of one attempt.",
        _seconds(60),
        minimum=0.1,
    )


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Section ``[entry]``: HTTP interface for callers."""

    http_address: str = setting(
        Kind.ADDRESS, "Address of the HTTP interface.", "", required=True
    )
    threads: int = setting(
        Kind.INTEGER, "Threads that serve HTTP.", 128, minimum=1, maximum=1024
    )
    max_in_flight: int = setting(
        Kind.INTEGER, "Requests in flight at most.", 256, minimum=1, maximum=100000
    )
    max_body_bytes: int = setting(
        Kind.INTEGER,
        "Largest body of a request.",
        1048576,
        minimum=1,
        maximum=4194304,
    )
    default_timeout_seconds: timedelta = setting(
        Kind.SECONDS,
        "Timeout of a request that names none.",
        _seconds(10),
        minimum=0.01,
        maximum=3600,
    )
    max_timeout_seconds: timedelta = setting(
        Kind.SECONDS,
        "Longest timeout that a request may name.",
        _seconds(120),
        minimum=0.01,
        maximum=3600,
    )
    retry_ratio: float = setting(
        Kind.NUMBER, "Retries that each success allows.", 0.1, maximum=1
    )
    retry_burst: int = setting(
        Kind.INTEGER, "Retries allowed before any success.", 20, maximum=10000
    )


@dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """Section ``[upstream]``: the upstream of this sidecar, if any."""

    address: str = setting(Kind.ADDRESS, "Address of the upstream.", "")
    services: tuple[str, ...] = setting(
        Kind.NAMES, "Services that the upstream answers.", ()
    )
    slots: int = setting(
        Kind.INTEGER, "Requests that run at a time.", 8, minimum=1, maximum=1024
    )
    queue: int = setting(
        Kind.INTEGER, "Requests that wait for a slot at most.", 16, maximum=10000
    )
    processors: float = setting(
        Kind.NUMBER, "Processors reserved for the upstream.", 0.0
    )
    memory_mib: float = setting(Kind.NUMBER, "Memory reserved for the upstream.", 0.0)
    accelerators: float = setting(
        Kind.NUMBER, "Accelerators reserved for the upstream.", 0.0
    )


@dataclass(frozen=True, slots=True)
class WorkerSettings:
    """Section ``[worker]``: the worker of this sidecar, if any."""

    address: str = setting(Kind.ADDRESS, "Address of the worker.", "")
    poll_seconds: timedelta = setting(
        Kind.SECONDS,
        "Interval at which task states are read.",
        _seconds(0.5),
        minimum=0.05,
        maximum=60,
    )


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Section ``[service NAME]``: a service that callers may request."""

    name: str
    repeatable: bool = setting(
        Kind.BOOLEAN, "Whether a request may run more than once.", False
    )
    log_outage: LogOutage = setting(
        Kind.LOG_OUTAGE,
        "What happens to new keys while the log is down.",
        LogOutage.REFUSE,
    )
    path: str = setting(Kind.TEXT, "Path of the service on the upstream.", "")


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a process."""

    process: ProcessSettings
    log: LogSettings
    cluster: ClusterSettings
    entry: EntrySettings
    upstream: UpstreamSettings
    worker: WorkerSettings
    services: dict[str, ServiceSettings]
