"""Run the shell commands in the operator documentation against a small cluster.

The addresses and the host in the pages are replaced by those of the cluster. A command
must exit with 0, or with the code in its comment ``# exits with N``. A daemon, marked
``# stopped``, is stopped with SIGTERM and must then exit with 0.
"""

import os
import re
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from bench.addresses import find_address
from bench.cluster import Cluster, Layout
from bench.standins.platform_store import PlatformStore

ROOT = Path(__file__).parent.parent
PAGES = ("check.md", "install.md", "lists.md", "logs-and-metrics.md", "runbooks.md")
CONFIGURATION = ROOT / "examples" / "configuration.json"
BLOCK = re.compile(r"^```(sh|ini)\n(.*?)^```$", re.M | re.S)
ADDRESS = re.compile(r"10\.0\.\d+\.\d+:\d+")
EXIT_MARK = re.compile(r"  # exits with (\d+)$")
DAEMON_MARK = "  # stopped"
DAEMON_RUN_SECONDS = 4
COMMAND_TIMEOUT_SECONDS = 60.0
SERVICES = {"lookup": "repeatable = yes", "review": "log_outage = refuse"}


class PageRunner:
    """Runs commands in a directory with the examples and settings from the pages."""

    def __init__(self, cluster: Cluster, platform_log: str, directory: Path) -> None:
        self._directory = directory
        self._addresses = {
            "10.0.0.9:7000": cluster.log_address,
            "10.0.0.9:7200": platform_log,
            "10.0.0.1:8080": cluster.http_addresses[0],
            "10.0.0.1:7101": cluster.entries[0][1],
        }
        shutil.copytree(ROOT / "examples", directory / "examples")

    def run_page(self, page: Path) -> list[str]:
        """Run the commands of a page and return those that failed."""
        failed = []
        for language, text in BLOCK.findall(page.read_text(encoding="utf-8")):
            commands = ADDRESS.sub(lambda m: self._map_address(m.group()), text)
            if language == "ini":
                name = commands.partition("\n")[0].removeprefix("; ")
                (self._directory / name).write_text(commands, encoding="utf-8")
                continue
            # Only the drained host is replaced: a daemon started by the pages must not
            # use the name of a running host.
            commands = commands.replace("drain host-17", "drain host-1")
            for line in commands.splitlines():
                if problem := self._run_command(line):
                    failed.append(f"{page.name}: {line}\n{problem}")
        return failed

    def _map_address(self, address: str) -> str:
        return self._addresses.setdefault(address, find_address())

    def _run_command(self, line: str) -> str:
        mark = EXIT_MARK.search(line)
        expected = int(mark.group(1)) if mark else 0
        command = f"{sys.executable} -m egretcrank"
        if line.endswith(DAEMON_MARK):
            command = f"timeout --preserve-status {DAEMON_RUN_SECONDS} {command}"
        script = f'egretcrank() {{ {command} "$@"; }}\n{line}'
        run = subprocess.run(
            ["bash", "-c", script],
            cwd=self._directory,
            env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_SECONDS,
            check=False,
        )
        print(f"{run.returncode} {line[:100]}", flush=True)
        if run.returncode == expected:
            return ""
        return f"exit code {run.returncode}, not {expected}\n{run.stdout}{run.stderr}"


def main() -> None:
    """Run the commands of all pages; exit with 1 if one failed."""
    with tempfile.TemporaryDirectory(prefix="egretcrank-") as name:
        directory = Path(name)
        (directory / "pages").mkdir()
        cluster = Cluster(Layout(entries=1, hosts=3, services=SERVICES), directory)
        platform_log = find_address()
        store = PlatformStore(platform_log, 1)
        store.put("keyed.op", "config", CONFIGURATION.read_bytes())
        store.start()
        try:
            cluster.start()
            runner = PageRunner(cluster, platform_log, directory / "pages")
            pages = [ROOT / "docs" / "operations" / page for page in PAGES]
            failed = [problem for page in pages for problem in runner.run_page(page)]
        finally:
            cluster.stop()
            store.stop()
    print("\n".join(failed) or "all commands of the pages did as they say")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
