"""Settings of controller and agent, rendered from the templates in deploy/."""

import os
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

from returns.result import Result

from egretcrank.errors.kinds import Problem
from egretcrank.settings.parser import parse_sections, read_text
from egretcrank.settings.schema import Kind, setting


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Section ``[host]``: identity of the process."""

    name: str = setting(Kind.TEXT, "Name of the host.", "", required=True)
    failure_domain: str = setting(
        Kind.TEXT, "Failure domain of the host.", "", required=True
    )
    ip: str = setting(Kind.TEXT, "IP address of the host.", "", required=True)
    first_port: int = setting(
        Kind.INTEGER,
        "First port for connections between daemons.",
        0,
        minimum=1,
        maximum=65535,
        required=True,
    )
    metrics_port: int = setting(
        Kind.INTEGER,
        "Port of the metrics server, on the host's IP address.",
        9180,
        minimum=1,
        maximum=65535,
    )
    log_level: str = setting(Kind.TEXT, "Lowest level that is logged.", "INFO")

    @property
    def peer_address(self) -> str:
        """Return the address that other daemons connect to."""
        return f"{self.ip}:{self.first_port}"

    @property
    def metrics_address(self) -> str:
        """Return the address of the metrics server."""
        return f"{self.ip}:{self.metrics_port}"


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Section ``[store]``: the platform's log."""

    address: str = setting(Kind.ADDRESS, "Address of the log.", "", required=True)


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """Section ``[bounds]``: time limits that the platform guarantees or requires."""

    lease_milliseconds: float = setting(
        Kind.NUMBER, "Maximum lease of a runner.", 6000.0, minimum=1000, required=True
    )
    keep_ended_seconds: timedelta = setting(
        Kind.SECONDS,
        "Retention time of an ended job, and of a cancellation without a job.",
        timedelta(seconds=120),
        required=True,
    )
    grace_seconds: timedelta = setting(
        Kind.SECONDS,
        "Time from SIGTERM to SIGKILL.",
        timedelta(seconds=6),
        required=True,
    )
    harm_milliseconds: float = setting(
        Kind.NUMBER,
        "Maximum time a task may exceed its latency target due to best-effort tasks.",
        4000.0,
        required=True,
    )

    cancel_milliseconds: float = setting(
        Kind.NUMBER,
        "Maximum time from the acknowledgement of a cancellation to a start.",
        3000.0,
        minimum=1000,
    )

    evacuation_milliseconds: float = setting(
        Kind.NUMBER,
        "Maximum time from the request to evacuate a failure domain to a start there;"
        " 0 if no domain is ever evacuated.",
        0.0,
        environment="EGRETCRANK_EVACUATION_MILLISECONDS",
    )
    remote_factor: float = setting(
        Kind.NUMBER,
        "How many times as long a task takes away from its rack.",
        1.0,
        minimum=1,
        maximum=100,
        environment="EGRETCRANK_REMOTE_FACTOR",
    )

    @property
    def lease(self) -> timedelta:
        """Return the maximum lease of a runner."""
        return timedelta(milliseconds=self.lease_milliseconds)

    @property
    def cancellation(self) -> timedelta:
        """Return the bound on starts after a cancellation."""
        return timedelta(milliseconds=self.cancel_milliseconds)

    @property
    def evacuation(self) -> timedelta | None:
        """Return the bound on starts after a request to evacuate, if there is one."""
        if not self.evacuation_milliseconds:
            return None
        return timedelta(milliseconds=self.evacuation_milliseconds)


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """Section ``[callers]``: the HTTP interface for callers."""

    http_address: str = setting(Kind.ADDRESS, "Address for callers.", "", required=True)
    ready_address: str = setting(
        Kind.ADDRESS, "Address of the readiness check.", "", required=True
    )
    threads: int = setting(
        Kind.INTEGER, "Threads that serve HTTP.", 32, minimum=1, maximum=1024
    )


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Section ``[limits]``: resources of the machine for this process."""

    processor_share: float = setting(
        Kind.NUMBER, "Share of each processor for this process.", 1.0, minimum=0
    )
    processors: float = setting(
        Kind.NUMBER, "Speed of a processor relative to a standard one.", 1.0, minimum=0
    )
    link_megabits: float = setting(
        Kind.NUMBER,
        "Bandwidth of the machine's network link, in Mbit/s.",
        1000.0,
        minimum=0,
    )


@dataclass(frozen=True, slots=True)
class RunnerSettings:
    """Section ``[runner]``: the runner on the agent's machine."""

    address: str = setting(Kind.ADDRESS, "Address of the runner.", "", required=True)
    heartbeat_address: str = setting(
        Kind.ADDRESS,
        "Address that receives the runner's heartbeats.",
        "",
        required=True,
    )


class ControllerSettings(NamedTuple):
    """Settings of a controller."""

    host: HostSettings
    store: StoreSettings
    bounds: BoundSettings
    callers: CallerSettings
    limits: LimitSettings


class AgentSettings(NamedTuple):
    """Settings of an agent."""

    host: HostSettings
    store: StoreSettings
    bounds: BoundSettings
    runner: RunnerSettings


COMMON_SECTIONS: dict[str, type[Any]] = {
    "host": HostSettings,
    "store": StoreSettings,
    "bounds": BoundSettings,
}


def load_controller(path: Path) -> Result[ControllerSettings, tuple[Problem, ...]]:
    """Read the settings of a controller."""
    sections = {
        **COMMON_SECTIONS,
        "callers": CallerSettings,
        "limits": LimitSettings,
    }
    return _load(path, sections).map(lambda values: ControllerSettings(**values))


def load_agent(path: Path) -> Result[AgentSettings, tuple[Problem, ...]]:
    """Read the settings of an agent."""
    sections = {**COMMON_SECTIONS, "runner": RunnerSettings}
    return _load(path, sections).map(lambda values: AgentSettings(**values))


def _load(
    path: Path, sections: dict[str, type[Any]]
) -> Result[dict[str, Any], tuple[Problem, ...]]:
    return read_text(path).bind(
        lambda text: parse_sections(text, str(path), sections, os.environ)
    )
