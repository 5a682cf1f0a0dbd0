"""Tests of the command that checks a configuration before it is sent."""

import tempfile
from pathlib import Path
from typing import Any
from unittest.mock import patch

import msgspec
from click.testing import CliRunner
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from bench.addresses import find_address
from bench.standins.platform_store import PlatformStore
from egretcrank.cli import check as command
from egretcrank.cli.main import main
from egretcrank.platform.manifest import parse_entries, parse_manifest
from tests.cases import AsyncTestCase

ROUTE = {"name": "q", "host": "h", "path_prefix": "/q/", "service": "s"}
VALID: dict[str, Any] = {"version": 5, "routes": [ROUTE], "services": [{"name": "s"}]}
ODD: st.SearchStrategy[Any] = st.sampled_from(
    [-1, 0, 1.5, 10**25, "", "x", None, True, [], {}]
)


def build_route(**fields):
    return {**ROUTE, **fields}


def build_fields(names, values):
    return st.dictionaries(st.sampled_from(names), values)


ROUTES = build_fields([*ROUTE, "stretch", "priority", "advice"], ODD | st.just("s"))
DOCUMENTS = build_fields(
    ["version", "routes", "services", "limits", "more"],
    ODD
    | st.integers(0, 3)
    | st.lists(ODD | ROUTES | ROUTES.map(lambda odd: {**ROUTE, **odd}), max_size=3)
    | build_fields(["body_bytes"], ODD),
).map(msgspec.json.encode)
# Hides a field from the tree, while the parser still meets it.
REPEATED = DOCUMENTS.map(lambda body: b'{"version":"x",' + (body[1:] or b"}"))


class CheckTests(AsyncTestCase):
    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def write(self, name, document):
        if not isinstance(document, bytes):
            document = msgspec.json.encode(document)
        path = self.directory / name
        path.write_bytes(document)
        return path

    def invoke(self, *arguments):
        result = CliRunner().invoke(main, ["check", *map(str, arguments)])
        # Any other exception would be a traceback.
        self.assertIsInstance(result.exception, SystemExit | None, result.output)
        return result.exit_code, result.output

    def check(self, document, *arguments):
        file = self.write("new.json", document)
        code, output = self.invoke(file, "--json", *arguments)
        return code, msgspec.json.decode(output)

    def check_against(self, old, new):
        return self.check(new, "--against", self.write("old.json", old))

    def test_each_kind_of_finding_names_its_location(self):
        """Guards against entries without effect that pass unnoticed."""
        other = build_route(name="r", path_prefix="/r/")
        same_prefix = [ROUTE, build_route(name="r")]
        unused = [{"name": "s"}, {"name": ""}]
        cases: list[tuple[str, str, dict[str, Any]]] = [
            ("version", "version", {"version": 0}),
            ("duplicate_name", "routes[0].name", {"routes": [other, other]}),
            ("duplicate_name", "services[0].name", {"services": [{"name": "s"}] * 2}),
            ("hidden_queue", "routes[1].path_prefix", {"routes": same_prefix}),
            ("unknown_service", "routes[0].service", {"services": []}),
            ("unused_service", "services[1]", {"services": unused}),
        ]
        for kind, field, value in (
            ("unreachable_queue", "host", "h:80"),
            ("unreachable_queue", "path_prefix", "q/"),
            ("limit", "max_attempts", 0),
            ("limit", "stretch", 0.5),
            ("limit", "priority", -1),
            ("invalid", "target_latency_ms", -1),
        ):
            routes = [build_route(**{field: value})]
            cases.append((kind, f"routes[0].{field}", {"routes": routes}))
        for kind, where, fields in cases:
            code, answer = self.check({**VALID, **fields})
            found = [(f["kind"], f["where"]) for f in answer["findings"]]
            self.assertEqual((code, found), (1, [(kind, where)]), fields)
            self.assertTrue(all(f["expected"] for f in answer["findings"]))
        self.assertEqual(self.check(VALID)[0], 0)

    def test_the_hidden_queue_is_the_one_that_gets_no_requests(self):
        """Guards against a finding that blames the queue that serves the requests."""
        moved = build_route(path_prefix="/x/")
        routes = [moved, build_route(name="r"), ROUTE]
        _, answer = self.check({**VALID, "routes": routes})
        hidden = [f for f in answer["findings"] if f["kind"] == "hidden_queue"]
        catalog = parse_manifest(msgspec.json.encode({**VALID, "routes": routes}))
        queue = catalog.unwrap().find_queue("h", "/q/")
        assert queue is not None
        self.assertEqual(queue.name, "q")
        self.assertEqual([f["where"] for f in hidden], ["routes[1].path_prefix"])

    def test_all_errors_of_a_file_are_listed_one_per_line(self):
        """Guards against operators who mend one error per attempt."""
        routes = [{}, 3, build_route(name="a\n\x1b", stretch=-1, priority="x\n")]
        file = self.write("a.json", {"routes": routes, "limits": {"body_bytes": -1}})
        code, output = self.invoke(file)
        lines = [line.split(": ") for line in output.splitlines()]
        self.assertEqual({line[0] for line in lines}, {"invalid"})
        self.assertEqual({line[1] for line in lines}, {str(file)})
        expected = ["version", *(f"routes[0].{k}" for k in list(ROUTE)[:3])]
        expected += ["routes[1]", "routes[2].priority", "routes[2].stretch"]
        expected += ["limits.body_bytes"]
        self.assertEqual((code, [line[2] for line in lines]), (1, expected))

    def test_a_long_integer_does_not_hide_other_errors(self):
        """Guards against JSON that is taken for unreadable."""
        body = b'{"version":%s,"routes":[0]}' % (b"1" * 5000)
        code, answer = self.check(body)
        found = [finding["where"] for finding in answer["findings"]]
        self.assertEqual((code, found), (1, ["version", "routes[0]"]))

    def test_long_lists_of_errors_are_cut(self):
        """Guards against millions of lines for a file that is no configuration."""
        file = self.write("a.json", {"version": 1, "routes": [0] * 2000})
        code, output = self.invoke(file)
        self.assertEqual((code, len(output.splitlines())), (1, 1001))
        self.assertIn("only 1000", output)

    def test_unreadable_files_exit_with_2_and_one_line(self):
        """Guards against tracebacks and against an error taken for a finding."""
        self.patch(command, "MAX_FILE_BYTES", 200_000)
        values = [b"", b"{", b"\xff", b"[" * 100_000, b" " * 200_001]
        files = [self.write(f"{n}.json", value) for n, value in enumerate(values)]
        valid = self.write("valid.json", VALID)
        for file in (*files, self.directory, self.directory / "none"):
            for arguments in ((file,), (valid, "--against", file)):
                code, output = self.invoke(*arguments)
                self.assertEqual((code, output.count("\n")), (2, 1), output)
                self.assertEqual(self.invoke(*arguments, "--json")[0], 2)
        for options in (["--log", "x"], ["--log", "h:1", "--against", valid]):
            self.assertEqual(self.invoke(valid, *options)[0], 2)

    def test_differences_and_their_effects_on_waiting_work(self):
        """Guards against a change that stops waiting work without a word."""
        old = {**VALID, "routes": [ROUTE, build_route(name="gone", path_prefix="/g/")]}
        new = {
            "version": 6,
            "routes": [build_route(service="t", max_attempts=1, priority=1)],
            "services": [{"name": "t"}],
        }
        code, answer = self.check_against(old, new)
        changes = {c["entry"]: c for c in answer["difference"]}
        self.assertEqual((code, answer["against"]), (0, 5))
        kinds = {entry: change["kind"] for entry, change in changes.items()}
        expected = {"routes/q": "changed", "routes/gone": "removed"}
        expected |= {"services/t": "added", "services/s": "removed"}
        self.assertEqual(kinds, expected)
        fields = {"service": ["s", "t"], "priority": [0, 1]}
        self.assertEqual(changes["routes/q"]["fields"], fields)
        effects = " ".join(changes["routes/q"]["effects"])
        self.assertIn("only on hosts of service 't'", effects)
        self.assertIn("later", effects)
        effects = " ".join(changes["routes/gone"]["effects"])
        self.assertIn("accepted jobs still run", effects)
        files = (self.directory / "new.json", "--against", self.directory / "old.json")
        output = self.invoke(*files)[1]
        self.assertIn("~ [routes/q]\n    service: 's' -> 't'\n", output)

    def test_a_version_that_is_not_higher_is_a_finding(self):
        """Guards against a configuration that all controllers ignore."""
        other = {**VALID, "routes": [build_route(stretch=2)]}
        cases = [(4, VALID, 1), (5, VALID, 0), (5, other, 1), (6, other, 0)]
        for version, document, code in cases:
            result, answer = self.check_against(VALID, {**document, "version": version})
            kinds = [f["kind"] for f in answer["findings"]]
            self.assertEqual((result, kinds), (code, ["version"] * code))

    def test_the_version_in_force_is_read_from_the_log(self):
        """Guards against a comparison with another record or a write to the log."""
        address = find_address()
        store = PlatformStore(address, 1)
        store.start()
        self.addCleanup(store.stop)
        code, answer = self.check(VALID, "--log", address)
        self.assertEqual((code, answer["against"]), (0, 0))
        store.put("keyed.op", "config", msgspec.json.encode(VALID))
        store.put("keyed.op", "evacuate/d", b"{}")
        with patch.object(store, "_append") as append:
            code, answer = self.check({**VALID, "version": 7}, "--log", address)
        self.assertEqual((code, answer["against"], answer["difference"]), (0, 5, []))
        append.assert_not_called()
        store.put("keyed.op", "config", b'{"version":"x"}')
        code, answer = self.check(VALID, "--log", address)
        self.assertEqual((code, answer["unreadable"]), (2, f"log {address}"))
        self.assertEqual(self.check(VALID, "--log", find_address())[0], 2)

    @seed(20261206)
    @settings(max_examples=400, deadline=None, database=None)
    @given(st.binary(max_size=60) | DOCUMENTS | REPEATED)
    def test_the_reader_accepts_what_controllers_accept(self, body):
        """Guards against a check that passes what controllers reject."""
        match parse_manifest(body), parse_entries(body):
            case Success(catalog), Success(entries):
                self.assertEqual(catalog.version, entries.version)
                self.assertEqual(set(catalog.queues), {q.name for q in entries.queues})
            case Failure(_), Failure(problems):
                self.assertTrue(problems)
                self.assertTrue(all(problem.detail for problem in problems))
            case results:
                self.fail(f"{results} for {body!r}")
        file = self.write("fuzz.json", body)
        for arguments in ((file,), (file, "--json"), (file, "--against", file)):
            self.assertIn(self.invoke(*arguments)[0], (0, 1, 2))
