"""Callers of a soak: they hand jobs in, repeat them unanswered, and ask at the end."""

import http.client
import random
import threading
import time

import msgspec

from bench.soak.processes import QUEUE_HOST, QUEUE_PATH, Site

CALLERS = 4
PAUSE_SECONDS = (0.1, 0.8)
CALL_TIMEOUT_SECONDS = 3.0
TRIES = 8
# Time after the last fault in which all accepted jobs have to end: two leases, the
# restart of everything and the work that was lost.
FINISH_SECONDS = 45.0
ENDED = ("completed", "failed", "cancelled")


class Callers:
    """Hands jobs in until it is told to finish; keeps what was answered."""

    def __init__(self, site: Site, seed: int) -> None:
        self._site = site
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._hand_in, args=(self._random.random(),))
            for _ in range(CALLERS)
        ]
        self.sent: dict[str, str] = {}
        self.accepted: set[str] = set()
        self.refused: set[str] = set()

    def start(self) -> None:
        """Begin to hand jobs in."""
        for thread in self._threads:
            thread.start()

    def _hand_in(self, seed: float) -> None:
        dice = random.Random(seed)
        while not self._stopped.wait(dice.uniform(*PAUSE_SECONDS)):
            job = f"{dice.getrandbits(64):016x}"
            cpu = dice.choice([500, 1500, 2500])
            spec = msgspec.json.encode(
                {"seconds": round(dice.uniform(0.1, 2.0), 2), "cpu": cpu}
            ).decode()
            step = {"count": dice.randint(1, 3), "cpu": cpu, "mem_mb": 10}
            step["estimated_ms"] = 1000
            steps = [step, {**step, "depends_on": [0]}][: dice.randint(1, 2)]
            body = msgspec.json.encode({"spec": spec, "steps": steps})
            with self._lock:
                self.sent[job] = spec
            self._submit(job, body, dice)

    def _submit(self, job: str, body: bytes, dice: random.Random) -> None:
        """Send a job until it is answered; a refusal counts only if none was open."""
        open_tries = 0
        for _ in range(TRIES):
            status, _ = self._call("POST", job, body, dice)
            if status == 200:
                with self._lock:
                    self.accepted.add(job)
                return
            if status in (429, 503) and not open_tries:
                with self._lock:
                    self.refused.add(job)
                return
            # A connection that was refused has sent nothing.
            open_tries += status != -1
            time.sleep(dice.uniform(0.1, 0.5))

    def _call(
        self, method: str, job: str, body: bytes | None, dice: random.Random
    ) -> tuple[int, bytes]:
        """Call any controller; 0 stands for no answer, -1 for no connection."""
        controller = dice.choice(self._site.controllers)
        host, _, port = controller.callers_address.rpartition(":")
        link = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_SECONDS)
        try:
            link.connect()
        except OSError:
            return -1, b""
        try:
            link.request(method, QUEUE_PATH + job, body, {"Host": QUEUE_HOST})
            reply = link.getresponse()
            return reply.status, reply.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            link.close()

    def finish(self) -> list[str]:
        """Stop handing in; wait for the accepted jobs and return what is broken."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        until = time.monotonic() + FINISH_SECONDS
        left = dict.fromkeys(self.accepted, "unknown")
        while left and time.monotonic() < until:
            for job in list(left):
                left[job] = self._find_state(job)
                if left[job] in ENDED:
                    del left[job]
            time.sleep(0.3)
        problems = [f"{job} is {state} at the end" for job, state in left.items()]
        if not self.accepted:
            problems.append("no job was accepted")
        for started in self._site.observer.starts:
            job = started.task.partition(".")[0]
            if job in self.refused:
                problems.append(f"{job} was refused and started")
            if self.sent.get(job) != started.spec:
                problems.append(f"{started.task} started as nobody asked for")
        return problems

    def _find_state(self, job: str) -> str:
        status, body = self._call("GET", job, None, self._random)
        if status != 200:
            return f"answered {status}"
        return str(msgspec.json.decode(body)["state"])
