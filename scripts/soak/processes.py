"""Entries as real processes."""

import asyncio
import json
import pathlib
import re
import resource
import signal
import time

GRACE_SECONDS = 8.0
RESTART_SECONDS = 0.3
CALLERS_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 23100, 23101, 23102, 23112
# As in deploy/system.toml. The archive of classes is made for each run, as it is valid for one build only.
JAVA_OPTIONS = ("-Xmx96m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData "
                "-Dfirwheel.log=service -Dvertx.disableDnsResolver=true").split()
ARCHIVE = "firwheel.jsa"
FAULT_PATTERNS = [re.compile(pattern) for pattern in ("Unhandled exception", '"event":"EV-107"', "OutOfMemoryError")]
STARTED = '"event":"EV-101"'


class Life:
    """One life of an entry, from its start to its exit."""

    def __init__(self, number, child, log):
        self.number = number
        self.child = child
        self.log = log
        self.started = time.monotonic()
        self.signals = []
        self.exit_code = None
        self.ended = None

    @property
    def terminated(self):
        """Time of the first signal that drains the process, or None."""
        return next((moment for name, moment in self.signals if name in ("TERM", "INT")), None)


class Entry:
    """An entry that is started again whenever it has ended."""

    def __init__(self, index, network, store_address, binary, folder, java_options=tuple(JAVA_OPTIONS),
                 max_descriptors=None):
        self.name = f"entry-{index}"
        self.ip = f"{network}.{index + 1}"
        self.binary = binary
        self.java_options = java_options
        self.max_descriptors = max_descriptors
        self.folder = folder
        self.lives = []
        self.in_rotation = True
        self.findings = []
        self.settings = folder / f"{self.name}.json"
        self.settings.write_text(json.dumps({
            "host": self.name, "availabilityZone": "zone-a", "ip": self.ip, "callers": f"{self.ip}:{CALLERS_PORT}",
            "readiness": f"{self.ip}:{READY_PORT}", "peerPort": PEER_PORT, "lastPeerPort": PEER_PORT + 5,
            "metricsPort": METRICS_PORT, "store": store_address, "localTarget": "", "localService": "",
            "repeatRatio": 0.2, "repeatAllowance": 1000, "repeatWindowSeconds": 10,
            "shutdownGraceSeconds": GRACE_SECONDS, "storeSilenceMillis": 3000, "configApplyMillis": 2000,
            "drainNoticeMillis": 2000}))

    @property
    def life(self):
        return self.lives[-1]

    async def run(self):
        """Starts the entry, and again each time it ends."""
        while True:
            await self.start()
            life = self.life
            life.exit_code = await life.child.wait()
            life.ended = time.monotonic()
            self.check_exit(life)
            await asyncio.sleep(RESTART_SECONDS)

    async def start(self):
        number = len(self.lives) + 1
        log = self.folder / f"{self.name}-{number}.log"
        with open(log, "wb") as output:
            child = await asyncio.create_subprocess_exec(
                "java", *self.java_options, "-XX:+ExitOnOutOfMemoryError", f"-XX:SharedArchiveFile={self.folder / ARCHIVE}",
                "-Xlog:disable", "-jar", str(self.binary), "platform-entry", "--settings", str(self.settings),
                stdout=output, stderr=output, preexec_fn=self.limit_descriptors)
        self.lives.append(Life(number, child, log))

    def limit_descriptors(self):
        if self.max_descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_descriptors, self.max_descriptors))

    def has_handlers(self):
        """Returns whether the process handles SIGHUP, which ends a JVM that is still starting."""
        return self.life.ended is None and STARTED in self.life.log.read_text(errors="replace")

    def send(self, name):
        """Sends a signal to the process if it runs; SIGTERM is followed by SIGKILL after the grace period."""
        life = self.life
        if life.ended is not None or life.child.returncode is not None:
            return
        if name != "HUP" and life.terminated is None:
            asyncio.get_running_loop().call_later(GRACE_SECONDS, self.kill, life)
        life.signals.append((name, time.monotonic()))
        life.child.send_signal(getattr(signal, "SIG" + name))

    def kill(self, life):
        if life.child.returncode is None:
            self.findings.append(f"{self.name} life {life.number}: still runs {GRACE_SECONDS:.0f} s after SIGTERM")
            life.child.kill()

    def check_exit(self, life):
        served = STARTED in life.log.read_text(errors="replace")
        if life.signals and life.exit_code == -signal.SIGKILL:
            return  # already a finding
        if life.exit_code != 0 and (served or life.terminated is None):
            self.findings.append(f"{self.name} life {life.number}: exit code {life.exit_code} after {life.signals}")

    def check_logs(self):
        """Adds a finding for each line of the logs that shows a fault of the process."""
        for life in self.lives:
            for line in life.log.read_text(errors="replace").splitlines():
                if any(pattern.search(line) for pattern in FAULT_PATTERNS):
                    self.findings.append(f"{self.name} life {life.number}: {line[:400]}")

    async def await_ready(self, seconds):
        end = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > end:
                raise SystemExit(f"{self.name} is not ready after {seconds} s; see {self.folder}")
            await asyncio.sleep(0.1)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, READY_PORT), 0.9)
            writer.write(f"GET /readiness HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
            line = await asyncio.wait_for(reader.readline(), 0.9)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def watch_readiness(self):
        """Takes the entry out of rotation after two misses in a row, as the platform does."""
        misses = 0
        while True:
            misses = 0 if await self.is_ready() else misses + 1
            self.in_rotation = misses < 2
            await asyncio.sleep(1)


async def make_archive(binary, folder):
    """Makes the archive of classes with which the entries of a folder start."""
    child = await asyncio.create_subprocess_exec(
        "java", *JAVA_OPTIONS, f"-XX:ArchiveClassesAtExit={folder / ARCHIVE}", "-jar", str(binary), "warm-up",
        stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.DEVNULL)
    if await child.wait() != 0:
        raise SystemExit(f"warm-up of {binary} failed")


def check_binary(path):
    binary = pathlib.Path(path).resolve()
    if not binary.exists():
        raise SystemExit(f"{binary} does not exist; build it first")
    return binary
