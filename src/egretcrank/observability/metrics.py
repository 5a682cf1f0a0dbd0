"""Metrics of a process, rendered in the Prometheus text format."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from egretcrank.errors.kinds import Problem

LATENCY_BUCKETS_SECONDS = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
]  # fmt: skip


class Metrics:
    """Metrics of one process, in a separate registry."""

    def __init__(self) -> None:
        self._registry = Registry()
        self.requests = Counter(
            "egretcrank_requests_total",
            "Requests by service and result (ok or an error kind).",
            registry=self._registry,
        )
        self.request_seconds = Histogram(
            "egretcrank_request_seconds",
            "Time to answer a request by service.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.attempts = Counter(
            "egretcrank_attempts_total",
            "Attempts on upstreams by service and result.",
            registry=self._registry,
        )
        self.refusals = Counter(
            "egretcrank_refusals_total",
            "Refused input by source and error kind.",
            registry=self._registry,
        )
        self.tasks = Counter(
            "egretcrank_tasks_total",
            "Task transitions by state.",
            registry=self._registry,
        )
        self.log_appends = Counter(
            "egretcrank_log_appends_total",
            "Appends to the log by stream and result.",
            registry=self._registry,
        )
        self.log_records = Counter(
            "egretcrank_log_records_total",
            "Records folded by stream and result (valid or void).",
            registry=self._registry,
        )
        self.members = Gauge(
            "egretcrank_members",
            "Members by liveness.",
            registry=self._registry,
        )
        self.partitions_owned = Gauge(
            "egretcrank_partitions_owned",
            "Partitions that this process owns.",
            registry=self._registry,
        )
        self.lists_revision = Gauge(
            "egretcrank_lists_revision",
            "Revision of the lists in force.",
            registry=self._registry,
        )
        self.in_flight = Gauge(
            "egretcrank_in_flight",
            "Requests in flight.",
            registry=self._registry,
        )

        self.caller_requests = Counter(
            "egretcrank_caller_requests_total",
            "Requests of callers by method and status.",
            registry=self._registry,
        )
        self.caller_seconds = Histogram(
            "egretcrank_caller_seconds",
            "Time to answer a caller by method.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.runs = Counter(
            "egretcrank_runs_total",
            "Runs of tasks by event (placed, or why the run ended).",
            registry=self._registry,
        )
        self.early_releases = Counter(
            "egretcrank_runs_released_on_lease_total",
            "Runs that counted as ended without a listed end while the lease of their"
            " host may have lasted, by reason.",
            registry=self._registry,
        )
        self.crash_suspects = Counter(
            "egretcrank_crash_suspects_total",
            "Tasks that may have crashed a runner, by event (suspected, tried or given"
            " up).",
            registry=self._registry,
        )
        self.hosts_avoided = Gauge(
            "egretcrank_hosts_avoided",
            "Hosts that get no new tasks, or one at a time, as they fail their tasks.",
            registry=self._registry,
        )
        self.host_verdicts = Counter(
            "egretcrank_host_verdicts_total",
            "Verdicts on hosts by reason (failures, relapse, recovered, untested, slow"
            " or slow_over).",
            registry=self._registry,
        )
        self.first_start_seconds = Histogram(
            "egretcrank_first_start_seconds",
            "Time from handing a job in to the start of its first task.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.place_waits = Counter(
            "egretcrank_place_waits_total",
            "Waits of steps for room in a rack by event (begun, or why the wait"
            " ended: room, expired, rack_lost or cancelled).",
            registry=self._registry,
        )
        self.place_wait_seconds = Histogram(
            "egretcrank_place_wait_seconds",
            "Time for which a step waited for room in a rack.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.place_saved_seconds = Histogram(
            "egretcrank_place_saved_seconds",
            "Time that a wait for room in a rack is expected to save when it begins.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.decision_seconds = Histogram(
            "egretcrank_decision_seconds",
            "Time of one round of decisions of the leader.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.append_seconds = Histogram(
            "egretcrank_append_seconds",
            "Time of one append of the leader, with its repetitions.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.leader_epoch = Gauge(
            "egretcrank_leader_epoch",
            "Epoch under which this controller leads, 0 if it does not.",
            registry=self._registry,
        )
        self.hosts = Gauge(
            "egretcrank_hosts",
            "Hosts of the cell by state (attached or not).",
            registry=self._registry,
        )
        self.open_jobs = Gauge(
            "egretcrank_open_jobs",
            "Jobs of the cell that have not ended.",
            registry=self._registry,
        )
        self.jobs_refused = Counter(
            "egretcrank_jobs_refused_total",
            "Jobs refused under overload by queue and reason (backlog or"
            " higher_priority).",
            registry=self._registry,
        )
        self.queue_backlog_seconds = Gauge(
            "egretcrank_queue_backlog_seconds",
            "Time that the service of a queue takes for the queue's open jobs, NaN"
            " while its throughput is uncertain.",
            registry=self._registry,
        )
        self.view_age_seconds = Gauge(
            "egretcrank_view_age_seconds",
            "Time for which records may have been stored that the leader has not read.",
            registry=self._registry,
        )
        self.evacuated_domains = Gauge(
            "egretcrank_evacuated_domains",
            "Failure domains in which nothing may start, by the operator's request.",
            registry=self._registry,
        )
        self.withdrawn_starts = Counter(
            "egretcrank_starts_withdrawn_total",
            "Starts that were withdrawn, as their failure domain is evacuated.",
            registry=self._registry,
        )
        self.runner_calls = Counter(
            "egretcrank_runner_calls_total",
            "Calls to the runner by call and result (ok or an error kind).",
            registry=self._registry,
        )
        self.runner_seconds = Histogram(
            "egretcrank_runner_start_seconds",
            "Time of one start at the runner.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.order_wait_seconds = Histogram(
            "egretcrank_order_wait_seconds",
            "Time from the arrival of a start at the agent until it is sent.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self.heartbeats_ignored = Counter(
            "egretcrank_heartbeats_ignored_total",
            "Heartbeats that do not describe the runner by reason (old or"
            " other_process).",
            registry=self._registry,
        )
        self.runner_crashes = Counter(
            "egretcrank_runner_crashes_total",
            "Crashes of the runner by whether runs are suspects (yes or no).",
            registry=self._registry,
        )
        self.paces = Counter(
            "egretcrank_paces_total",
            "Changes of pace of tasks that fill.",
            registry=self._registry,
        )
        self.authority_seconds = Gauge(
            "egretcrank_authority_seconds",
            "Time for which leases may be kept without a further answer of the leader.",
            registry=self._registry,
        )

    def count_runner_call(self, call: str, failed: Problem | None) -> None:
        """Count a call to the runner by its result."""
        result = failed.kind.value if failed else "ok"
        self.runner_calls.inc({"call": call, "result": result})

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of an HTTP response."""
        body, headers = render(self._registry, [accept])
        return body, dict(headers)
