"""Fault injection for the soak: external faults, sequential and overlapping."""

import random
import signal
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from functools import partial

from bench.soak.processes import (
    FAILURE_DOMAINS,
    HOST_MILLICORES,
    Daemon,
    SoakCluster,
)
from bench.soak.writers import OtherWriter
from bench.standins.platform_runner import PlatformRunner
from bench.standins.platform_store import StoreMode

PAUSE_SECONDS = (0.2, 2.5)
DOWNTIME_SECONDS = (0.0, 2.0)
FREEZE_SECONDS = (0.5, 8.0)
OUTAGE_SECONDS = (0.5, 7.0)
START_DELAY_PROBABILITY = 0.3
LIVES = (2, 5)
LIFE_SECONDS = (0.3, 4.0)
RUNNER_DOWN_SECONDS = (0.2, 1.5)
DRAIN_SECONDS = (0.5, 3.0)
UNREGISTER_DELAY_SECONDS = (0.3, 4.0)
AGENT_DOWN_SECONDS = (0.0, 0.5)
# Long enough for the next agent process to start and poll the runner once.
SILENCE_START_SECONDS = (0.0, 2.5)
SILENCE_SECONDS = (1.0, 5.0)
CONTROLLER_FREEZE_SECONDS = (0.5, 2.5)
LATE_REPLIES = (0.5, 0.0, 0.15)
SLOW_REPLIES = (1.0, 0.05, 0.4)
LATE_SECONDS = (2.0, 8.0)
SHRUNK_SHARES = (0.2, 0.8)
# Longer than the platform's grace for a smaller capacity.
SHRUNK_SECONDS = (4.0, 9.0)
# Before the next life of a crashed runner, and about its beginning.
STRIKE_SECONDS = ((0.0, 0.5), (0.5, 4.5))
CRASH_WAIT_SECONDS = 4.0
WRITER_SECONDS = (2.0, 12.0)
CLOCK_STEP_SECONDS = (1.0, 5.0)


class FaultInjector:
    """Injects faults chosen by a seeded random generator."""

    def __init__(self, cluster: SoakCluster, seed: int) -> None:
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._timers: list[threading.Timer] = []
        self.counts: Counter[str] = Counter()
        process_faults = [
            self._kill_one,
            self._kill_one,
            self._terminate_one,
            self._freeze_one,
            self._freeze_one,
            self._kill_all,
            self._take_log_away,
            self._take_log_away,
            self._drop_history,
            self._deal_anew,
            self._cut_link,
            self._silence_link,
            self._restart_runner,
            self._silence_runner,
            self._delay_starts,
        ]
        # Several of these meet on one host, which chance alone rarely brings about.
        host_faults = [
            self._begin_lives,
            self._begin_lives,
            self._drain_runner,
            self._drain_runner,
            self._kill_agent_of_silent_runner,
            self._kill_agent_of_silent_runner,
            self._freeze_agent_of_new_life,
            self._kill_agent_of_frozen_leader,
            self._silence_runner,
            self._send_late_replies,
            self._slow_machines,
        ]
        # Seeds differ in emphasis: one kind of faults at a time is easier to trace.
        self._faults: list[Callable[[], None]] = self._rng.choice(
            [process_faults, host_faults, process_faults + host_faults]
        )
        self.has_host_faults = self._faults is not process_faults
        # Odd seeds have none, so that they play as they did before these existed.
        self.has_crashes = seed % 2 == 0
        if self.has_crashes:
            self._faults = [
                *self._faults,
                self._shrink_capacity,
                self._shrink_capacity,
                self._strike_after_change_of_capacity,
                self._strike_after_change_of_capacity,
                self._strike_after_crash,
                self._strike_after_crash,
                self._strike_after_crash,
            ]

        # A fourth of the seeds, so that the others play as before.
        if seed % 4 == 1:
            self._faults = [
                *self._faults,
                *[self._report_beside] * 4,
                self._begin_life_under_another_id,
                self._begin_life_under_another_id,
                self._begin_earlier_life,
                self._begin_earlier_life,
            ]
        # A fifth of the seeds, so that the others play as before.
        if seed % 5 == 3:
            self._faults = [*self._faults, *[self._evacuate_or_take_back] * 4]

    def run(self, seconds: float) -> None:
        """Inject faults for a number of seconds."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            time.sleep(self._rng.uniform(*PAUSE_SECONDS))
            fault = self._rng.choice(self._faults)
            name = fault.__name__.strip("_")
            self.counts[name] += 1
            self._cluster.observer.note(f"fault: {name}")
            fault()

    def recover(self) -> None:
        """End all faults and make sure that every process runs."""
        for timer in self._timers:
            timer.join()
        self._cluster.store.mode = StoreMode.UP
        for domain in FAILURE_DOMAINS:
            self._cluster.take_back(domain)
        for runner in self._cluster.runners:
            runner.start_delay_probability = 0.0
            runner.late_replies = (0.0, 0.0, 0.0)
            runner.clock_ahead = 0.0
            runner.begin_life()
        for daemon in self._cluster.daemons:
            daemon.send_signal(signal.SIGCONT)
            daemon.start()

    def _schedule(
        self, delay_range: tuple[float, float], action: Callable[[], None]
    ) -> None:
        self._schedule_at(self._rng.uniform(*delay_range), action)

    def _schedule_at(self, delay: float, action: Callable[[], None]) -> None:
        timer = threading.Timer(delay, action)
        timer.start()
        self._timers.append(timer)

    def _note(self, text: str) -> None:
        self._cluster.observer.note(f"fault: {text}")

    def _choose_host(self) -> tuple[PlatformRunner, Daemon]:
        number = self._rng.randrange(len(self._cluster.runners))
        return self._cluster.runners[number], self._cluster.agents[number]

    def _choose_daemon(self) -> Daemon:
        return self._rng.choice(self._cluster.daemons)

    def _kill_one(self) -> None:
        daemon = self._choose_daemon()
        daemon.send_signal(signal.SIGKILL)
        self._schedule(DOWNTIME_SECONDS, daemon.start)

    def _terminate_one(self) -> None:
        daemon = self._choose_daemon()
        daemon.send_signal(signal.SIGTERM)
        self._schedule((6.5, 8.0), daemon.start)

    def _freeze_one(self) -> None:
        daemon = self._choose_daemon()
        daemon.send_signal(signal.SIGSTOP)
        self._schedule(FREEZE_SECONDS, lambda: daemon.send_signal(signal.SIGCONT))

    def _kill_all(self) -> None:
        for daemon in self._cluster.daemons:
            daemon.send_signal(signal.SIGKILL)
            self._schedule(DOWNTIME_SECONDS, daemon.start)

    def _take_log_away(self) -> None:
        modes = (StoreMode.BUSY, StoreMode.SILENT, StoreMode.LOSSY)
        self._cluster.store.mode = self._rng.choice(modes)
        self._schedule(OUTAGE_SECONDS, self._restore_log)

    def _restore_log(self) -> None:
        self._cluster.store.mode = StoreMode.UP

    def _evacuate_or_take_back(self) -> None:
        domain = self._rng.choice(FAILURE_DOMAINS)
        if domain in self._cluster.observer.evacuated_at:
            self._cluster.take_back(domain)
        else:
            self._cluster.evacuate(domain)

    def _drop_history(self) -> None:
        self._cluster.store.drop_history()

    def _deal_anew(self) -> None:
        self._cluster.store.rebalance_groups()

    def _cut_link(self) -> None:
        link = self._rng.choice(list(self._cluster.links.values()))
        self._send_command(f"cut {link} {self._rng.uniform(*OUTAGE_SECONDS):.2f}")

    def _silence_link(self) -> None:
        self._send_command(
            f"silence {self._rng.choice(list(self._cluster.links.values()))}"
        )

    def _send_command(self, line: str) -> None:
        host, _, port = self._cluster.forwarder_control.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=2.0) as connection:
            connection.sendall(f"{line}\n".encode())
            connection.recv(16)

    def _restart_runner(self) -> None:
        self._rng.choice(self._cluster.runners).restart()

    def _silence_runner(self) -> None:
        runner, _ = self._choose_host()
        runner.be_silent(self._rng.uniform(*OUTAGE_SECONDS))

    def _delay_starts(self) -> None:
        runner = self._rng.choice(self._cluster.runners)
        runner.start_delay_probability = (
            START_DELAY_PROBABILITY if not runner.start_delay_probability else 0.0
        )

    def _begin_lives(self) -> None:
        """Let a runner go down and up by turns under the same id."""
        runner, _ = self._choose_host()
        self._schedule_lives(runner, 0.0)
        if self._rng.random() < 0.5:
            self._delay_replies(runner, LATE_REPLIES)

    def _schedule_lives(self, runner: PlatformRunner, first: float) -> None:
        at = first
        for _ in range(self._rng.randint(*LIVES)):
            down = self._rng.uniform(*RUNNER_DOWN_SECONDS)
            if self._rng.random() < 0.5:
                self._schedule_at(at, runner.end_life)
                self._schedule_at(at + down, runner.begin_life)
            else:
                self._schedule_at(at, partial(runner.be_silent, down))
                self._schedule_at(at + down, runner.restart)
            at += down + self._rng.uniform(*LIFE_SECONDS)

    def _report_beside(self) -> None:
        """Let other writers report to the agents of some runners."""
        runners = self._cluster.runners
        for runner in self._rng.sample(runners, self._rng.randint(1, len(runners))):
            writer = OtherWriter(runner, random.Random(self._rng.random()))
            writer.run(self._rng.uniform(*WRITER_SECONDS))

    def _begin_life_under_another_id(self) -> None:
        """Let a runner begin lives under ids of their own, or its first id again."""
        runner, _ = self._choose_host()
        runner.has_new_ids = not runner.has_new_ids
        self._schedule_lives(runner, 0.0)

    def _begin_earlier_life(self) -> None:
        """Let the time of day jump ahead, and back between two lives."""
        runner, _ = self._choose_host()
        runner.clock_ahead = self._rng.uniform(*CLOCK_STEP_SECONDS)
        runner.restart()
        back_at = self._rng.uniform(*LIFE_SECONDS)
        self._schedule_at(back_at, partial(setattr, runner, "clock_ahead", 0.0))
        self._schedule_lives(runner, back_at)

    def _drain_runner(self) -> None:
        """Let a runner drain, unregister, end and begin a life under the same id."""
        runner, _ = self._choose_host()
        seconds = self._rng.uniform(*DRAIN_SECONDS)
        late = self._rng.random() < 0.5
        delay = self._rng.uniform(*UNREGISTER_DELAY_SECONDS) if late else 0.0
        down = self._rng.uniform(*RUNNER_DOWN_SECONDS)
        runner.drain(seconds)
        self._schedule_at(seconds, partial(runner.leave, delay))
        self._schedule_at(seconds + down, runner.begin_life)
        if late and self._rng.random() < 0.5:
            start = seconds + max(down, delay)
            silence = self._rng.uniform(*SILENCE_SECONDS)
            self._schedule_at(start + 0.5, partial(runner.be_silent, silence))

    def _kill_agent(self, agent: Daemon) -> None:
        self._note(f"{agent.name} is killed")
        agent.send_signal(signal.SIGKILL)
        self._schedule(AGENT_DOWN_SECONDS, agent.start)

    def _kill_agent_of_silent_runner(self) -> None:
        # Its runs have to outlast the start of the agent and a second of silence.
        runner = max(self._cluster.runners, key=PlatformRunner.find_last_end)
        agent = self._cluster.agents[self._cluster.runners.index(runner)]
        self._kill_agent(agent)
        seconds = self._rng.uniform(*SILENCE_SECONDS)
        if self._rng.random() < 0.5:
            runner.takeover_silence = seconds
            return
        self._schedule(SILENCE_START_SECONDS, partial(runner.be_silent, seconds))

    def _freeze_agent(self, daemon: Daemon) -> None:
        self._note(f"{daemon.name} is stopped")
        daemon.send_signal(signal.SIGSTOP)
        self._schedule(FREEZE_SECONDS, lambda: daemon.send_signal(signal.SIGCONT))

    def _freeze_agent_of_new_life(self) -> None:
        runner, agent = self._choose_host()
        self._freeze_agent(agent)
        if self._rng.random() < 0.5:
            self._schedule_lives(runner, self._rng.uniform(0.0, 1.0))
            return
        leaves_at = self._rng.uniform(0.0, 1.0)
        down = self._rng.uniform(*RUNNER_DOWN_SECONDS)
        delay = self._rng.uniform(0.0, UNREGISTER_DELAY_SECONDS[1])
        self._schedule_at(leaves_at, partial(runner.leave, delay))
        self._schedule_at(leaves_at + down, runner.begin_life)

    def _kill_agent_of_frozen_leader(self) -> None:
        """Hold up the reports of an agent process until its successor has reported."""
        _, agent = self._choose_host()
        controller = self._rng.choice(self._cluster.controllers)
        self._note(f"{controller.name} is stopped")
        controller.send_signal(signal.SIGSTOP)
        self._schedule(
            CONTROLLER_FREEZE_SECONDS, lambda: controller.send_signal(signal.SIGCONT)
        )
        killed_at = self._rng.uniform(0.0, 0.6)
        self._schedule_at(killed_at, partial(agent.send_signal, signal.SIGKILL))
        self._schedule_at(
            killed_at + self._rng.uniform(*AGENT_DOWN_SECONDS), agent.start
        )

    def _shrink_capacity(self) -> None:
        """Let some runners shrink, and grow again later."""
        for runner in self._rng.sample(self._cluster.runners, self._rng.randint(1, 2)):
            self._shrink(runner)

    def _shrink(self, runner: PlatformRunner) -> None:
        runner.resize(int(HOST_MILLICORES * self._rng.uniform(*SHRUNK_SHARES)))
        self._schedule(SHRUNK_SECONDS, partial(runner.resize, HOST_MILLICORES))

    def _strike_after_change_of_capacity(self) -> None:
        runner, _ = self._choose_host()
        self._shrink(runner)
        self._strike(runner)

    def _strike_after_crash(self) -> None:
        runner, _ = self._choose_host()
        crashed = self._cluster.observer.crashed
        count = len(crashed)
        deadline = time.monotonic() + CRASH_WAIT_SECONDS
        while len(crashed) == count and time.monotonic() < deadline:
            time.sleep(0.005)
        self._strike(crashed[count] if len(crashed) > count else runner)

    def _strike(self, runner: PlatformRunner) -> None:
        """Take away the leader, the log or the agent of a runner for some time."""
        agent = self._cluster.agents[self._cluster.runners.index(runner)]
        at = self._rng.uniform(*self._rng.choice(STRIKE_SECONDS))
        match self._rng.randrange(4):
            case 0:
                down = self._rng.uniform(*DOWNTIME_SECONDS)
                self._schedule_at(at, partial(self._kill_leader, down))
            case 1:
                self._schedule_at(at, self._silence_log)
                self._schedule_at(
                    at + self._rng.uniform(*OUTAGE_SECONDS), self._restore_log
                )
            case 2:
                self._schedule_signal(at, agent, signal.SIGKILL)
                self._schedule_at(
                    at + self._rng.uniform(*AGENT_DOWN_SECONDS), agent.start
                )
            case 3:
                self._schedule_signal(at, agent, signal.SIGSTOP)
                self._schedule_signal(
                    at + self._rng.uniform(*FREEZE_SECONDS), agent, signal.SIGCONT
                )

    def _schedule_signal(
        self, at: float, daemon: Daemon, number: signal.Signals
    ) -> None:
        def send() -> None:
            self._note(f"{number.name} to {daemon.name}")
            daemon.send_signal(number)

        self._schedule_at(at, send)

    def _kill_leader(self, down: float) -> None:
        leader = self._cluster.find_leader()
        if leader is not None:
            self._note(f"{leader.name}, the leader, is killed")
            leader.send_signal(signal.SIGKILL)
            self._schedule_at(down, leader.start)

    def _silence_log(self) -> None:
        self._note("the log goes silent")
        self._cluster.store.mode = StoreMode.SILENT

    def _send_late_replies(self) -> None:
        """Let replies of a runner overtake each other."""
        runner, _ = self._choose_host()
        self._delay_replies(runner, LATE_REPLIES)

    def _slow_machines(self) -> None:
        for runner in self._rng.sample(self._cluster.runners, 2):
            self._delay_replies(runner, SLOW_REPLIES)

    def _delay_replies(
        self, runner: PlatformRunner, replies: tuple[float, float, float]
    ) -> None:
        runner.late_replies = replies
        self._schedule(LATE_SECONDS, partial(self._end_delays, runner))

    def _end_delays(self, runner: PlatformRunner) -> None:
        runner.late_replies = (0.0, 0.0, 0.0)
