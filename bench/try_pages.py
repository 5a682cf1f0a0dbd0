"""Run each shell command of the pages for operators against a small cluster.

The addresses and the host of the pages stand for those of the cluster. A command must
exit with 0, or with the code of its comment ``# exits with N``. A daemon, marked
``# stopped``, is ended with SIGTERM and must then exit with 0.
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

ROOT = Path(__file__).parent.parent
PAGES = ("install.md", "lists.md", "logs-and-metrics.md", "runbooks.md")
BLOCK = re.compile(r"^```(sh|ini)\n(.*?)^```$", re.M | re.S)
ADDRESS = re.compile(r"10\.0\.\d+\.\d+:\d+")
EXIT_MARK = re.compile(r"  # exits with (\d+)$")
DAEMON_MARK = "  # stopped"
DAEMON_SECONDS = 4
COMMAND_LIMIT_SECONDS = 60.0
SERVICES = {"lookup": "repeatable = yes", "review": "log_outage = refuse"}


class PageRunner:
    """Runs commands in a directory with the examples and the settings of the pages."""

    def __init__(self, cluster: Cluster, directory: Path) -> None:
        self._directory = directory
        self._addresses = {
            "10.0.0.9:7000": cluster.log_address,
            "10.0.0.1:8080": cluster.http_addresses[0],
            "10.0.0.1:7101": cluster.entries[0][1],
        }
        shutil.copytree(ROOT / "examples", directory / "examples")

    def run_page(self, page: Path) -> list[str]:
        """Run the commands of a page and return those that failed."""
        failed = []
        for language, text in BLOCK.findall(page.read_text(encoding="utf-8")):
            filled = ADDRESS.sub(lambda m: self._find(m.group()), text)
            if language == "ini":
                name = filled.partition("\n")[0].removeprefix("; ")
                (self._directory / name).write_text(filled, encoding="utf-8")
                continue
            # The daemon of the pages must not take the name of a host that runs.
            filled = filled.replace("drain host-17", "drain host-1")
            for line in filled.splitlines():
                if problem := self._run(line):
                    failed.append(f"{page.name}: {line}\n{problem}")
        return failed

    def _find(self, address: str) -> str:
        return self._addresses.setdefault(address, find_address())

    def _run(self, line: str) -> str:
        mark = EXIT_MARK.search(line)
        expected = int(mark.group(1)) if mark else 0
        command = f"{sys.executable} -m egretcrank"
        if line.endswith(DAEMON_MARK):
            command = f"timeout --preserve-status {DAEMON_SECONDS} {command}"
        script = f'egretcrank() {{ {command} "$@"; }}\n{line}'
        done = subprocess.run(
            ["bash", "-c", script],
            cwd=self._directory,
            env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
            capture_output=True,
            text=True,
            timeout=COMMAND_LIMIT_SECONDS,
            check=False,
        )
        print(f"{done.returncode} {line[:100]}", flush=True)
        if done.returncode == expected:
            return ""
        return (
            f"exit code {done.returncode}, not {expected}\n{done.stdout}{done.stderr}"
        )


def main() -> None:
    """Try all pages; exit with 1 if a command failed."""
    with tempfile.TemporaryDirectory(prefix="egretcrank-") as name:
        directory = Path(name)
        (directory / "pages").mkdir()
        cluster = Cluster(Layout(entries=1, hosts=3, services=SERVICES), directory)
        try:
            cluster.start()
            runner = PageRunner(cluster, directory / "pages")
            pages = [ROOT / "docs" / "operations" / page for page in PAGES]
            failed = [problem for page in pages for problem in runner.run_page(page)]
        finally:
            cluster.stop()
    print("\n".join(failed) or "all commands of the pages did as they say")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
