"""Operators that race for the lists while faults happen, and what came of it."""

import random
import threading
import time
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any, NamedTuple

import msgspec
import urllib3

from bench.cluster import Cluster
from bench.prove.callers import CUSTOMERS
from bench.prove.points import Findings
from egretcrank.stream.records import (
    Entry,
    ListChange,
    build_entry,
    decode_entry,
    encode_entry,
)

OPERATORS = 3
PAUSE_SECONDS = (0.3, 1.2)
SAMPLE_SECONDS = 0.2
HTTP_SECONDS = 2.0
# The founder overrules the operators after this time and is away from then on.
OVERRIDE_AFTER_SECONDS = 8.0
# An accepted change is in force everywhere within this time (design, section 1.7).
IN_FORCE_SECONDS = 19.0
PLANS = ("standard", "large")
PINNED_KEY = "allowances/large"
PINNED_QUOTA = 4242
PAGE_RECORDS = 100_000


class Sample(NamedTuple):
    """Revision in force of a process as an entry shows it; 0 while it starts."""

    entry: str
    process: str
    revision: int


class Expected(NamedTuple):
    """Revision and quotas after the records of the log."""

    revision: int
    quotas: Mapping[str, int]
    changes: int


class ConfigurationWorkload:
    """Threads that publish conflicting changes and that watch what is in force."""

    def __init__(self, cluster: Cluster, entries: Sequence[str], seed: int) -> None:
        self._cluster = cluster
        self._entries = list(entries)
        self._seed = seed
        self._stop = threading.Event()
        self._pool = ThreadPoolExecutor(OPERATORS + 2)
        self._runs: list[Future[None]] = []
        self._http = urllib3.PoolManager(retries=False, maxsize=8)
        self.samples: list[Sample] = []

    def start(self) -> None:
        """Publish the first lists, then race."""
        self._append(build_first_change())
        for number in range(OPERATORS):
            generator = random.Random(f"{self._seed}/lists/{number}")
            self._runs.append(self._pool.submit(self._operate, generator))
        self._runs.append(self._pool.submit(self._overrule))
        self._runs.append(self._pool.submit(self._watch))

    def stop(self) -> None:
        """Stop all threads."""
        self._stop.set()
        self._pool.shutdown()

    def finish(self) -> list[str]:
        """Stop; return the processes that are not on the last revision in time."""
        self.stop()
        for run in self._runs:
            run.result()
        expected = self.read_expected()
        deadline = time.monotonic() + IN_FORCE_SECONDS
        while time.monotonic() < deadline:
            self._sample()
            if not list_behind(self.samples, expected.revision):
                break
            time.sleep(SAMPLE_SECONDS)
        return list_behind(self.samples, expected.revision)

    def read_expected(self) -> Expected:
        """Fold the records of the log by the rules that operators are told."""
        url = f"http://{self._cluster.log_address}/streams/lists"
        reply = self._http.request("GET", f"{url}?from=0&limit={PAGE_RECORDS}&wait=0")
        records = msgspec.json.decode(reply.data)["records"]
        texts = [msgspec.json.encode(record["record"]) for record in records]
        entries = [decode_entry(text).value_or(None) for text in texts]
        return fold_expected(entry for entry in entries if entry is not None)

    def _operate(self, generator: random.Random) -> None:
        while not self._stop.wait(generator.uniform(*PAUSE_SECONDS)):
            base = self._read_revision(generator.choice(self._entries))
            if base is None:
                continue
            # A change from an older revision conflicts more often.
            base = max(0, base - generator.choice((0, 0, 0, 1, 3)))
            plan = generator.choice(PLANS)
            self._append(build_change(base, plan, generator.randrange(1, 1000)))

    def _overrule(self) -> None:
        self._stop.wait(OVERRIDE_AFTER_SECONDS)
        while not self._stop.is_set():
            expected = None
            base = self._read_revision(self._entries[0])
            if base is not None:
                change = ListChange(
                    base_revision=base,
                    author="founder",
                    authority="founder",
                    override=True,
                    set={PINNED_KEY: {"quota": PINNED_QUOTA}},
                    reason="overruled",
                )
                if self._append(change):
                    expected = self._try_read_expected()
            if expected and expected.quotas.get(PINNED_KEY) == PINNED_QUOTA:
                return
            self._stop.wait(1.0)

    def _try_read_expected(self) -> Expected | None:
        try:
            return self.read_expected()
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError, KeyError):
            return None

    def _watch(self) -> None:
        while not self._stop.wait(SAMPLE_SECONDS):
            self._sample()

    def _sample(self) -> None:
        for entry in self._entries:
            status = self._fetch_status(entry)
            if status is None:
                continue
            seen = [(status["name"], status["lists_revision"])]
            seen += [
                (member["host"], member["lists_revision"])
                for member in status["members"]
                if member["liveness"] == "alive"
            ]
            self.samples.extend(Sample(entry, name, rev) for name, rev in seen)

    def _read_revision(self, entry: str) -> int | None:
        status = self._fetch_status(entry)
        return None if status is None else int(status["lists_revision"])

    def _fetch_status(self, entry: str) -> Any:
        try:
            reply = self._http.request(
                "GET", f"http://{entry}/status", timeout=HTTP_SECONDS
            )
            return msgspec.json.decode(reply.data) if reply.status == 200 else None
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
            return None

    def _append(self, change: ListChange) -> bool:
        record = msgspec.Raw(encode_entry(build_entry(change)))
        try:
            reply = self._http.request(
                "POST",
                f"http://{self._cluster.log_address}/streams/lists",
                body=msgspec.json.encode({"records": [record]}),
                timeout=HTTP_SECONDS,
            )
        except urllib3.exceptions.HTTPError:
            return False
        return reply.status == 200


def build_first_change() -> ListChange:
    """Build the lists that know every customer of the run."""
    plans = {f"plans/{name}": {"plan": "standard"} for name in CUSTOMERS}
    allowances = {f"allowances/{plan}": {"quota": 1000} for plan in PLANS}
    return ListChange(
        author="setup", set=allowances | plans, reason="start", authority="operator"
    )


def build_change(base: int, plan: str, quota: int) -> ListChange:
    """Build an operator's change of one allowance."""
    return ListChange(
        base_revision=base,
        author="operator",
        authority="operator",
        set={f"allowances/{plan}": {"quota": quota}},
        reason="race",
    )


def fold_expected(entries: Iterable[Entry]) -> Expected:
    """Fold changes of allowances: no stale base, nothing against the override."""
    revision = 0
    changes = 0
    changed: dict[str, int] = {}
    quotas: dict[str, int] = {}
    pinned: set[str] = set()
    for _, record in entries:
        if not isinstance(record, ListChange):
            continue
        changes += 1
        keys = record.set.keys()
        overruled = record.authority != "founder" and keys & pinned
        stale = any(changed.get(key, 0) > record.base_revision for key in keys)
        if overruled or stale or record.base_revision > revision:
            continue
        revision += 1
        for key, fields in record.set.items():
            changed[key] = revision
            if "quota" in fields:
                quotas[key] = fields["quota"]
        if record.override:
            pinned |= keys
    return Expected(revision, quotas, changes)


def list_behind(samples: Sequence[Sample], revision: int) -> list[str]:
    """List the processes whose newest sample is not the expected revision."""
    newest = {(sample.entry, sample.process): sample for sample in samples}
    return sorted(
        f"{s.process} has revision {s.revision} at {s.entry}, not {revision}"
        for s in newest.values()
        if s.revision != revision
    )


def check_configuration(
    samples: Sequence[Sample], expected: Expected, behind: Sequence[str]
) -> Findings:
    """No process reverts, all reach the last revision, and the override stands."""
    violations = list(behind)
    highest: dict[tuple[str, str], int] = {}
    for sample in samples:
        place = (sample.entry, sample.process)
        known = highest.get(place, 0)
        if 0 < sample.revision < known:
            violations.append(
                f"{sample.process} went from revision {known} to {sample.revision}"
            )
        highest[place] = max(known, sample.revision)
    if expected.quotas.get(PINNED_KEY) != PINNED_QUOTA:
        violations.append(f"override is not in force: {expected.quotas}")
    return Findings(expected.changes, tuple(violations))
