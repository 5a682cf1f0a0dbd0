"""Cluster of a soak: daemons as processes and stand-ins of the platform in-process."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import IO

import msgspec
from returns.result import Success

from bench.addresses import find_address
from bench.standins.platform_runner import Observer, PlatformRunner
from bench.standins.platform_store import PlatformStore
from egretcrank.controller.daemon import LEADER_KEY
from egretcrank.controller.election import JOBS_TOPIC
from egretcrank.scheduling.records import LeaderRecord, decode_record

PYTHON = (sys.executable, "-m")
FORWARDER = "bench.standins.forwarder"
CONTROLLERS = 3
HOSTS = 4
HOST_MILLICORES = 4000
QUEUE_PATH = "/q/"
QUEUE_HOST = "q.example"
READY_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 10.0

MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "q",
            "host": QUEUE_HOST,
            "path_prefix": QUEUE_PATH,
            "service": "s",
            "max_attempts": 3,
            "stretch": 2.0,
        }
    ],
    "services": [{"name": "s"}],
}

HOST_SETTINGS = """
[host]
name = {name}
failure_domain = z
ip = 127.0.0.1
first_port = {peer}
metrics_port = {metrics}
[store]
address = {store}
[bounds]
lease_milliseconds = 6000
keep_ended_seconds = 600
grace_seconds = 6
harm_milliseconds = 4000
evacuation_milliseconds = 5000
"""
FAILURE_DOMAINS = ("z0", "z1")


class Daemon:
    """A daemon process that can be stopped and restarted."""

    def __init__(self, role: str, name: str, settings: str, directory: Path) -> None:
        self.name = name
        self.callers_address = ""
        self.peer_address = ""
        self._role = role
        self._settings = directory / f"{name}.ini"
        self._settings.write_text(settings)
        self._output: IO[bytes] = (directory / f"{name}.log").open("ab")
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process unless it is running."""
        if self._process is not None and self._process.poll() is None:
            return
        self._process = subprocess.Popen(
            [*PYTHON, "egretcrank", self._role, "--settings", str(self._settings)],
            stdout=self._output,
            stderr=self._output,
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.poll() is None:
            os.kill(self._process.pid, number)

    def stop_process(self, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal and wait for the process to exit; kill it after a timeout."""
        self.send_signal(number)
        if self._process is not None:
            try:
                self._process.wait(STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                self._process.kill()
                self._process.wait()

    def close(self) -> None:
        """Kill the process and close its log file."""
        self.send_signal(signal.SIGCONT)
        self.stop_process()
        self._output.close()


class SoakCluster:
    """Controllers, agents, runners and the log; daemons reach the log through links."""

    def __init__(self, seed: int, directory: Path) -> None:
        self.observer = Observer()
        self._store_address = find_address()
        self.store = PlatformStore(self._store_address, seed)
        self.store.put("keyed.op", "config", msgspec.json.encode(MANIFEST))
        self._directory = directory
        self.links = {
            f"{kind}{number}": find_address()
            for kind, count in (("controller", CONTROLLERS), ("agent", HOSTS))
            for number in range(count)
        }
        self.forwarder_control = find_address()
        self.controllers = [self._build_controller(n) for n in range(CONTROLLERS)]
        self.runners: list[PlatformRunner] = []
        self.agents = [self._build_agent(n) for n in range(HOSTS)]

    def _build_controller(self, number: int) -> Daemon:
        name = f"controller{number}"
        callers = find_address()
        peer = find_address()
        settings = self._render_host_settings(name, peer)
        settings += f"[callers]\nhttp_address = {callers}\n"
        settings += f"ready_address = {find_address()}\n"
        settings += "[limits]\nprocessor_share = 1\nprocessors = 1\n"
        daemon = Daemon("controller", name, settings, self._directory)
        daemon.callers_address = callers
        daemon.peer_address = peer
        return daemon

    def _build_agent(self, number: int) -> Daemon:
        name = f"agent{number}"
        control, address = find_address(), find_address()
        runner = PlatformRunner(
            f"r{number}", address, control, HOST_MILLICORES, self.observer
        )
        runner.failure_domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        self.runners.append(runner)
        settings = self._render_host_settings(name, find_address())
        settings += f"[runner]\naddress = {address}\nheartbeat_address = {control}\n"
        return Daemon("agent", name, settings, self._directory)

    def _render_host_settings(self, name: str, peer: str) -> str:
        return HOST_SETTINGS.format(
            name=name,
            peer=peer.rpartition(":")[2],
            metrics=find_address().rpartition(":")[2],
            store=self.links[name],
        )

    def evacuate(self, domain: str) -> None:
        """Ask to evacuate a failure domain."""
        self.store.put("keyed.op", f"evacuate/{domain}", b"{}")
        self.observer.evacuated_at.setdefault(domain, time.monotonic())

    def take_back(self, domain: str) -> None:
        """Withdraw the request to evacuate a failure domain."""
        self.observer.evacuated_at.pop(domain, None)
        self.store.put("keyed.op", f"evacuate/{domain}", b"")

    @property
    def daemons(self) -> list[Daemon]:
        """All daemon processes."""
        return [*self.controllers, *self.agents]

    def find_leader(self) -> Daemon | None:
        """Return the controller that leads, as the log says."""
        value = self.store.find_newest(JOBS_TOPIC, LEADER_KEY.format())
        match decode_record(LEADER_KEY.kind, value or b""):
            case Success(LeaderRecord(_, address)):
                found = [c for c in self.controllers if c.peer_address == address]
                return found[0] if found else None
        return None

    def start(self) -> None:
        """Start all parts and give the daemons one second to start."""
        self.store.start()
        links = [
            f"--link={listen}={self._store_address}" for listen in self.links.values()
        ]
        self._forwarder = subprocess.Popen(
            [*PYTHON, FORWARDER, "--control", self.forwarder_control, *links]
        )
        for runner in self.runners:
            runner.start()
        for daemon in self.daemons:
            daemon.start()
        time.sleep(1.0)

    def stop(self) -> None:
        """Stop the daemons, the forwarder and the stand-ins."""
        for daemon in self.daemons:
            daemon.close()
        self._forwarder.kill()
        self._forwarder.wait()
        for runner in self.runners:
            runner.stop()
        self.store.stop()
