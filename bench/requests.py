"""Measures requests through entry and sidecar against requests straight to upstreams.

Starts 11 hosts of 8 slots and two entries as processes, and prints ``name=value``
lines. The service time of the stand-ins is uniform from half to one and a half times
the mean. A request straight to a stand-in never waits for a slot, because the stand-in
takes more requests than it has slots.
"""

import argparse
import json
import subprocess
import sys
import tempfile
import time
from datetime import datetime
from pathlib import Path
from typing import Any, NamedTuple

from bench.cluster import Cluster, Layout

HOSTS = 11
SLOTS = 8
CONNECTIONS_PER_HOST = 60
ENTRIES = 2
GENERATORS = 4
SERVICE_SECONDS = 0.1
TIMEOUT_SECONDS = 2.0
WARM_UP_SECONDS = 4.0
PHASE_SECONDS = 6.0
ROUNDS = 2
START_DELAY_SECONDS = 2.0
KILL_AFTER_SECONDS = 2.0
PATH = "/v1/services/lookup"
CUSTOMERS = ("member", "registry", "courier", "archive")
FLOOD_CUSTOMERS = ("flood", "quiet")
# The quiet customer asks for a tenth of the capacity while the other floods.
FLOOD_SHARES = (0.95, 0.05)
CAPACITY = HOSTS * SLOTS / SERVICE_SECONDS


class Sample(NamedTuple):
    """One request: customer, status (0 if lost), due time, latency in seconds."""

    customer: int
    status: int
    due: float
    seconds: float


class Load(NamedTuple):
    """One phase of load."""

    rate: float
    addresses: list[str]
    direct: bool
    seconds: float = PHASE_SECONDS
    customers: tuple[str, ...] = CUSTOMERS
    shares: tuple[float, ...] = (1, 1, 1, 1)


def start_load(load: Load, seed: int) -> "list[subprocess.Popen[str]]":
    """Start the generator processes of a phase."""
    connections = CONNECTIONS_PER_HOST * HOSTS // GENERATORS // len(load.addresses)
    start = time.time() + START_DELAY_SECONDS
    processes = []
    for number in range(GENERATORS):
        plan = {
            "seed": seed * 1000 + number,
            "addresses": load.addresses,
            "connections": connections,
            "path": "/lookup" if load.direct else PATH,
            "timeout": TIMEOUT_SECONDS,
            "customers": load.customers,
            "shares": load.shares,
            "even": True,
            "rate": load.rate / GENERATORS,
            "start": start,
            "seconds": load.seconds,
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "bench.load_generator"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        if process.stdin is None:
            raise AssertionError("the generator has no input")
        process.stdin.write(json.dumps(plan))
        process.stdin.close()
        process.stdin = None
        processes.append(process)
    return processes


def collect(processes: "list[subprocess.Popen[str]]") -> list[Sample]:
    """Wait for the generators and return all samples."""
    samples: list[Sample] = []
    for process in processes:
        output, _ = process.communicate()
        samples.extend(Sample(*row) for row in json.loads(output))
    return samples


def run_load(load: Load, seed: int) -> list[Sample]:
    """Run one phase of load."""
    return collect(start_load(load, seed))


def find_quantile(samples: list[Sample], quantile: float) -> float:
    """Return a quantile of the latency of good answers in milliseconds."""
    ordered = sorted(s.seconds for s in samples if s.status == 200)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] * 1000


def measure_goodput(samples: list[Sample], seconds: float) -> float:
    """Return good answers a second that came within the timeout and the phase."""
    end = min(s.due for s in samples) + seconds
    good = sum(
        s.status == 200 and s.seconds <= TIMEOUT_SECONDS and s.due + s.seconds <= end
        for s in samples
    )
    return good / seconds


def report(name: str, value: Any) -> None:
    """Print one figure."""
    shown = f"{value:.3f}" if isinstance(value, float) else value
    print(f"{name}={shown}", flush=True)


def report_latency(name: str, samples: list[Sample]) -> None:
    """Print the quantiles of a phase and what was not answered well."""
    for quantile, text in ((0.5, "p50"), (0.99, "p99"), (0.999, "p999")):
        report(f"{name}_{text}_ms", find_quantile(samples, quantile))
    report(f"{name}_requests", len(samples))
    report(f"{name}_not_ok", sum(s.status != 200 for s in samples))


def compare(cluster: Cluster, name: str, share: float, seed: int) -> None:
    """Measure one load through the system and straight, in alternating phases."""
    upstreams = [host.upstream for host in cluster.hosts]
    through: list[Sample] = []
    straight: list[Sample] = []
    for number in range(ROUNDS):
        rate = share * CAPACITY
        straight += run_load(Load(rate, upstreams, direct=True), seed + number)
        entries = cluster.http_addresses
        through += run_load(Load(rate, entries, direct=False), seed + number)
    report_latency(f"{name}_direct", straight)
    report_latency(name, through)
    ratio = find_quantile(through, 0.99) / find_quantile(straight, 0.99)
    report("p99_ratio" if name == "half" else f"{name}_p99_ratio", ratio)


def measure_overload(cluster: Cluster, seed: int) -> None:
    """Measure the goodput at capacity and at twice the capacity."""
    goodput = {}
    for name, share in (("capacity", 1.0), ("overload", 2.0)):
        load = Load(
            share * CAPACITY,
            cluster.http_addresses,
            direct=False,
            customers=FLOOD_CUSTOMERS,
            shares=FLOOD_SHARES,
        )
        samples = run_load(load, seed)
        goodput[name] = measure_goodput(samples, load.seconds)
        report(f"{name}_goodput", goodput[name])
        report_latency(name, samples)
        for status in sorted({s.status for s in samples}):
            count = sum(s.status == status for s in samples)
            report(f"{name}_status_{status}", count)
        quiet = [s for s in samples if s.customer == 1]
        share_ok = sum(s.status == 200 for s in quiet) / max(1, len(quiet))
        report(f"{name}_quiet_ok_share", share_ok)
        report(f"{name}_quiet_p99_ms", find_quantile(quiet, 0.99))
    report("goodput_ratio", goodput["overload"] / goodput["capacity"])


def measure_kill(cluster: Cluster, seed: int) -> None:
    """Measure how long requests are sent to a host that was killed."""
    host = cluster.hosts[0]
    load = Load(0.5 * CAPACITY, cluster.http_addresses, direct=False, seconds=8.0)
    processes = start_load(load, seed)
    time.sleep(START_DELAY_SECONDS + KILL_AFTER_SECONDS)
    killed_at = time.time()
    cluster.kill(host.name)
    cluster.kill(f"upstream-{host.name}")
    samples = collect(processes)
    after = [s for s in samples if s.due > killed_at]
    sent = [t for t in list_routes(cluster, host.name) if t > killed_at]
    report("kill_last_request_seconds", max(sent, default=killed_at) - killed_at)
    report("kill_requests_sent_after", len(sent))
    report("kill_requests", len(after))
    report("kill_not_ok", sum(s.status != 200 for s in after))
    report("kill_p99_ms", find_quantile(after, 0.99))


def list_routes(cluster: Cluster, host: str) -> list[float]:
    """Return the times at which entries chose a host, from their decision lines."""
    times = []
    for name, *_ in cluster.entries:
        text = (cluster.directory / f"{name}.log").read_text(encoding="utf-8")
        for line in text.splitlines():
            if f'"choice": "{host}"' not in line and f'"choice":"{host}"' not in line:
                continue
            decision = json.loads(line)["decision"]
            if decision["action"] == "route":
                times.append(datetime.fromisoformat(decision["time"]).timestamp())
    return times


def measure_processors(cluster: Cluster) -> dict[str, float]:
    """Return the processor seconds that each process has used so far."""
    used = {}
    for name, process in cluster.processes.items():
        fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        used[name] = (int(fields[11]) + int(fields[12])) / 100
    return used


def main() -> None:
    """Run the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    report("seed", options.seed)
    report("capacity_per_second", CAPACITY)
    directory = Path(tempfile.mkdtemp(prefix="egretcrank-bench-"))
    layout = Layout(
        entries=ENTRIES,
        hosts=HOSTS,
        failure_domains=3,
        slots=SLOTS,
        service_seconds=SERVICE_SECONDS,
    )
    cluster = Cluster(layout, directory)
    try:
        cluster.start()
        warm_up = Load(
            0.5 * CAPACITY, cluster.http_addresses, False, seconds=WARM_UP_SECONDS
        )
        run_load(warm_up, options.seed)
        before = measure_processors(cluster)
        compare(cluster, "half", 0.5, options.seed)
        after = measure_processors(cluster)
        requests = ROUNDS * PHASE_SECONDS * 0.5 * CAPACITY
        used = sum(after[n] - before[n] for n, *_ in cluster.entries)
        report("entry_cpu_ms_per_request", used / requests * 1000)
        used = sum(after[h.name] - before[h.name] for h in cluster.hosts)
        report("sidecar_cpu_ms_per_request", used / requests * 1000)
        compare(cluster, "nine_tenths", 0.9, options.seed + 10)
        measure_overload(cluster, options.seed + 20)
        measure_kill(cluster, options.seed + 30)
    finally:
        cluster.stop()
    print(f"logs are in {directory}")


if __name__ == "__main__":
    main()
