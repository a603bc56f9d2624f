"""Inject a seeded schedule of faults into real processes of the platform path, and check what callers saw.

The instances are processes of their own; the store, the endpoints, the callers and the proxies in
front of the store run here.
"""

from __future__ import annotations

import argparse
import json
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING

import httpx
import trio

from bench.loopback_proxy import Harm, LoopbackProxy
from bench.platform_soak_callers import Callers
from bench.platform_soak_endpoints import VERSIONS, SoakEndpoint
from bench.platform_soak_operator import ENGINE_SERVICES, SoakOperator
from rattangate.standins.platform import Platform, run_platform
from tests.small_deployment import free_addresses

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT = Path(__file__).resolve().parent.parent
ENGINES = (5, 3)
PLAIN_ENDPOINTS = 3
GRACE_S = 8
MAX_PAUSE_S = 2.0
CHANGE_GAP_S = (1.0, 2.0)
MAX_SILENCE_DELAY_S = 0.9
SILENCE_S = (0.9, 1.9)
SILENT_SHARES = (1.0, 0.6)
FURTHER_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
READY_TIMEOUT_S = 30.0
POLL_S = 0.05
SETTLE_S = 6.0
KILL_CODES = frozenset({-signal.SIGKILL})
STOP_CODES = frozenset({-signal.SIGTERM, -signal.SIGINT})
ODD_ANSWERS = ["{}", "[]", "null", '{"rows":{},"ver":"x"}']


@dataclass
class Instance:
    """Run one instance as a process; `expected_codes` are those with which it may end now."""

    name: str
    caller: str
    ready: str
    proxy: LoopbackProxy
    settings: Path
    log_path: Path
    process: trio.Process | None = None
    expected_codes: frozenset[int] = frozenset()
    _starts: int = 0

    async def start(self) -> None:
        """Start the process without waiting for it to be ready."""
        self.expected_codes = frozenset()
        self._starts += 1
        with self.log_path.open("ab") as log:
            self.process = await trio.lowlevel.open_process(
                [sys.executable, "-m", "rattangate.front"],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={"RATTANGATE_BOOT": str(self.settings), "PATH": "/usr/bin"},
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs; SIGHUP only once the program has begun.

        Before that the interpreter would end by it, whatever the program does.
        """
        if self.process is None or self.process.returncode is not None:
            return
        if number is not signal.SIGHUP or _handles(self.process.pid, number):
            self.process.send_signal(number)

    @property
    def is_stopping(self) -> bool:
        """Tell whether the process was told to stop or killed."""
        return bool(self.expected_codes)

    def expect_stop(self) -> None:
        """Expect the end of the process, by a signal only before it handles signals."""
        started = self.log_path.read_bytes().count(b'"instance_started"')
        by_signal = STOP_CODES if started < self._starts else frozenset()
        self.expected_codes = frozenset({0}) | by_signal

    async def is_ready(self) -> bool:
        """Ask for readiness as the platform's balancer does."""
        try:
            async with httpx.AsyncClient(trust_env=False, timeout=1.0, verify=False) as client:
                return (await client.get(f"http://{self.ready}/readyz")).status_code == 200
        except httpx.HTTPError:
            return False


@dataclass(frozen=True)
class Plan:
    """Hold what a soak does; with `mixes_software` each service has endpoints of two versions."""

    faults: tuple[str, ...]
    breaks_streams: bool = True
    mixes_software: bool = True


@dataclass
class Soak:
    """Run the parts of one soak; `broken` holds what broke a promise."""

    rng: random.Random
    folder: Path
    platform: Platform = field(default_factory=Platform)
    instances: list[Instance] = field(default_factory=list)
    endpoints: list[SoakEndpoint] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    injected: Counter[str] = field(default_factory=Counter)
    operator: SoakOperator = field(init=False)

    def __post_init__(self) -> None:
        self.operator = SoakOperator(self.platform.store, self.rng)

    async def run(self, seconds: float, instances: int, plan: Plan) -> Callers:
        """Inject faults for `seconds`, let the system settle and check that all serve."""
        (store,) = free_addresses(1)
        self._note(self.operator.write())
        self.platform.store.put("op", "version/daka", {"model": "daka", "version": 1})
        callers = Callers(self.rng, self.instances, self.endpoints, self.operator, self.broken)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_platform, store, self.platform)
            self._add_endpoints(nursery, plan)
            for number in range(instances):
                await self._add_instance(number, store, nursery)
            for instance in self.instances:
                await self._wait_ready(instance)
            callers.start(nursery)
            with trio.move_on_after(seconds):
                async with trio.open_nursery() as faults:
                    for group in [_INSTANCE_FAULTS] * max(1, instances // 4) + _OTHER_FAULTS:
                        if names := [name for name in group if name in plan.faults]:
                            faults.start_soon(self._inject, names)
            await self._settle()
            callers.stop()
            await callers.stopped.wait()
            for line in callers.unresumed:
                self._note(f"did not go on: {line}")
            callers.check_runs()
            callers.check_resumed()
            for instance in self.instances:
                if instance.process is not None and instance.process.returncode is None:
                    instance.process.kill()
            nursery.cancel_scope.cancel()
        return callers

    def _add_endpoints(self, nursery: trio.Nursery, plan: Plan) -> None:
        services = ["desk"] * PLAIN_ENDPOINTS
        for service, engines in zip(ENGINE_SERVICES, ENGINES, strict=True):
            services += [service] * engines
        addresses = free_addresses(len(services))
        for number, (service, address) in enumerate(zip(services, addresses, strict=True)):
            seed = random.Random(self.rng.randrange(2**32))
            name = f"{service}-{number}"
            endpoint = SoakEndpoint(name, service, address, self.platform.store, seed)
            endpoint.breaks_streams = plan.breaks_streams
            endpoint.keeps_software = not plan.mixes_software
            kind = number if plan.mixes_software else service != ENGINE_SERVICES[0]
            endpoint.software = VERSIONS[kind % len(VERSIONS)]
            self.endpoints.append(endpoint)
            nursery.start_soon(endpoint.run)

    async def _add_instance(self, number: int, store: str, nursery: trio.Nursery) -> None:
        # Each has a host of its own, as the port of the metrics is the same for all.
        host = f"127.1.{self.rng.randrange(1, 250)}.{number + 2}"
        ports = [address.rsplit(":", 1)[1] for address in free_addresses(4)]
        caller, ready = (f"{host}:{port}" for port in ports[:2])
        proxy = LoopbackProxy(f"127.0.0.1:{ports[3]}", store)
        name = f"entry-{number}"
        settings = self.folder / f"{name}.json"
        settings.write_text(
            json.dumps(
                {
                    "node_name": name,
                    "ip": host,
                    "zone": "riverside",
                    "listen": {"front": caller, "ready": ready},
                    "port_range": [int(ports[2]), int(ports[2])],
                    "platform": {"address": proxy.address},
                    "bounds": {"grace_s": GRACE_S},
                }
            )
        )
        log_path = self.folder / f"{name}.log"
        instance = Instance(name, caller, ready, proxy, settings, log_path)
        self.instances.append(instance)
        nursery.start_soon(proxy.run)
        await instance.start()
        nursery.start_soon(self._watch, instance)

    async def _watch(self, instance: Instance) -> None:
        """Start an instance again when it has ended, as the platform does."""
        while True:
            process = instance.process
            assert process is not None
            await process.wait()
            if process.returncode not in instance.expected_codes:
                self.broken.append(f"FAULT: {instance.name} ended with {process.returncode}")
            self._note(f"{instance.name} ended with {process.returncode}")
            await trio.sleep(0.2)
            self._note(f"start {instance.name}")
            await instance.start()

    async def _wait_ready(self, instance: Instance) -> None:
        with trio.move_on_after(READY_TIMEOUT_S) as scope:
            while not await instance.is_ready():
                await trio.sleep(POLL_S)
        if scope.cancelled_caught:
            self.broken.append(f"RECOVER: {instance.name} does not get ready")

    async def _inject(self, names: list[str]) -> None:
        while True:
            name = self.rng.choice(names)
            self.injected[name] += 1
            with trio.CancelScope(shield=True):
                await _FAULTS[name](self)
            await trio.sleep(self.rng.uniform(0.0, 0.5))

    async def _settle(self) -> None:
        """Let the faults end, then require that each instance gets ready."""
        self.platform.faults.answer = ""
        for instance in self.instances:
            instance.proxy.harm = Harm.NONE
        await trio.sleep(SETTLE_S)
        for instance in self.instances:
            await self._wait_ready(instance)

    def _note(self, text: str) -> None:
        """Write what was done to a log beside those of the instances."""
        with (self.folder / "soak.log").open("a") as log:
            log.write(f"{time.time():.3f} {text}\n")

    async def _stop_one(self) -> None:
        """Stop an instance with several signals, and kill it after the grace period."""
        instance = self.rng.choice(self.instances)
        process = instance.process
        if process is None or instance.is_stopping:
            return
        instance.expect_stop()
        self._note(f"stop {instance.name}")
        instance.send(signal.SIGTERM)
        # A pause may come in between.
        with trio.move_on_after(GRACE_S + MAX_PAUSE_S):
            while process.returncode is None:
                instance.send(self.rng.choice(FURTHER_SIGNALS))
                await trio.sleep(self.rng.uniform(0.05, 1.0))
        if process.returncode is None:
            self.broken.append(f"LOST: {instance.name} runs on after the grace period")
            instance.expected_codes = KILL_CODES
            process.kill()

    async def _reload_all(self) -> None:
        for instance in self.instances:
            self._note(f"reload {instance.name}")
            instance.send(signal.SIGHUP)
            await trio.sleep(self.rng.uniform(0.0, 0.1))

    async def _kill_one(self) -> None:
        instance = self.rng.choice(self.instances)
        if not instance.is_stopping:
            instance.expected_codes = KILL_CODES
            self._note(f"kill {instance.name}")
            instance.send(signal.SIGKILL)
            await trio.sleep(1.0)

    async def _pause_one(self) -> None:
        instance = self.rng.choice(self.instances)
        self._note(f"pause {instance.name}")
        instance.send(signal.SIGSTOP)
        await trio.sleep(self.rng.uniform(0.2, MAX_PAUSE_S))
        instance.send(signal.SIGCONT)

    async def _harm_store(self) -> None:
        """Harm the way of one instance to the store."""
        proxy = self.rng.choice(self.instances).proxy
        proxy.harm = self.rng.choice([harm for harm in Harm if harm is not Harm.NONE])
        await trio.sleep(self.rng.uniform(0.5, 3.0))
        proxy.harm = Harm.NONE
        proxy.reset_all()

    async def _answer_oddly(self) -> None:
        """Let the store answer all calls with an odd body for a while."""
        self.platform.faults.answer = self.rng.choice(ODD_ANSWERS)
        await trio.sleep(self.rng.uniform(0.2, 1.5))
        self.platform.faults.answer = ""

    async def _restart_endpoint(self) -> None:
        endpoint = self.rng.choice(self.endpoints)
        self._note(f"restart {endpoint.name}")
        endpoint.restart()
        await trio.sleep(self.rng.uniform(0.2, 1.0))

    async def _change_route(self) -> None:
        self._note(self.operator.change_route())
        await trio.sleep(self.rng.uniform(*CHANGE_GAP_S))

    async def _silence_engines(self) -> None:
        """Change the configuration, and let engines write nothing for a while soon after."""
        self._note(self.operator.change_any())
        await trio.sleep(self.rng.uniform(0.0, MAX_SILENCE_DELAY_S))
        engines = [endpoint for endpoint in self.endpoints if endpoint.is_engine]
        count = round(self.rng.choice(SILENT_SHARES) * len(engines))
        silence_s = self.rng.uniform(*SILENCE_S)
        until = trio.current_time() + silence_s
        for engine in self.rng.sample(engines, count):
            engine.silent_until = until
        self._note(f"hush {count} engines for {silence_s:.2f} s")
        await trio.sleep_until(until)
        await trio.sleep(self.rng.uniform(*CHANGE_GAP_S))


_FAULTS: dict[str, Callable[[Soak], Awaitable[None]]] = {
    "stop": Soak._stop_one,
    "reload": Soak._reload_all,
    "kill": Soak._kill_one,
    "pause": Soak._pause_one,
    "store": Soak._harm_store,
    "odd_store": Soak._answer_oddly,
    "endpoint": Soak._restart_endpoint,
    "route": Soak._change_route,
    "hush": Soak._silence_engines,
}
# The faults of a group come one after the other, those of different groups at once.
_INSTANCE_FAULTS = ("stop", "reload", "kill", "pause", "store", "odd_store")
_OTHER_FAULTS = [("endpoint",), ("route", "hush")]
ALL_FAULTS = Plan(tuple(_FAULTS))
ONLY_STOPS = Plan(("stop", "reload"), breaks_streams=False)


def _handles(pid: int, number: signal.Signals) -> bool:
    """Tell whether a process ignores or catches a signal."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return False
    masks = re.findall(r"^Sig(?:Ign|Cgt):\s*([0-9a-f]+)", status, re.MULTILINE)
    return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)


def main() -> None:
    """Run one soak and exit with 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--only-stops", action="store_true", help="planned stops and reloads only")
    parser.add_argument("--faults", type=_parse_faults, default=ALL_FAULTS.faults, metavar="A,B")
    parser.add_argument("--one-software", action="store_true", help="one version in each service")
    parser.add_argument("--logs", type=Path, help="the folder that keeps the logs")
    args = parser.parse_args()
    plan = ONLY_STOPS if args.only_stops else Plan(args.faults)
    plan = replace(plan, mixes_software=not args.one_software)
    with ExitStack() as stack:
        temporary = stack.enter_context(tempfile.TemporaryDirectory(prefix="soak-"))
        folder = args.logs or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(random.Random(args.seed), folder)
        callers = trio.run(soak.run, args.seconds, args.instances, plan)
    print(f"seed {args.seed}: {dict(callers.counts)}, faults {dict(soak.injected)}")
    counts = callers.counts
    print(f"{counts['resumed']} of {counts['resumable']} streams that could go on went on")
    for line in soak.broken:
        print(f"BROKEN {line}")
    sys.exit(1 if soak.broken else 0)


def _parse_faults(text: str) -> tuple[str, ...]:
    names = tuple(text.split(","))
    unknown = [name for name in names if name not in _FAULTS]
    if unknown:
        raise argparse.ArgumentTypeError(f"{unknown} are not among {list(_FAULTS)}")
    return names


if __name__ == "__main__":
    main()
