"""A small deployment on loopback: entries started by the deploy file, stand-in store, workers and clients."""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import tempfile
import time

import http1
import store as store_module

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
KEY = "key-of-tenant-1"
HOST = "h.example"
SERVICE = "order-desk"
# Those of a small site; see SYSTEM.md.
BOUNDS = {"contactMs": 3000, "drainMs": 2000, "configApplyMs": 2000, "graceS": 8, "retryBudgetRatio": 0.2,
          "retryBudgetExtra": 191, "retryWindowS": 10}
START_SECONDS = 40
BROKEN = 10  # exit code; Python itself exits with 1 after an error


class Record:
    """record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w")
        self.started = time.monotonic()

    def write(self, who, what):
        self.file.write(f"{time.monotonic() - self.started:9.3f} {who}: {what}\n")

    def say(self, what):
        print(what, flush=True)
        self.write("case", what)

    def close(self):
        self.file.close()


def free_ports(ips, count):
    """Returns ports that are free on all addresses."""
    found = []
    while len(found) < count:
        port = random.randint(20000, 30000)
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
        except OSError:
            continue
        found.append(port)
    return sorted(found)


def render(template, fields):
    """Fills in the placeholders of a settings template, as DEPLOY.md describes them, as far as they occur."""

    def value(match):
        found = fields
        for name in match.group(1).split("."):
            found = found[int(name)] if isinstance(found, list) else (found or {}).get(name)
        return json.dumps(found) if match.group(2) else "" if found is None else str(found)

    return re.sub(r"\{\{([A-Za-z.0-9]+)(\|json)?\}\}", value, template)


def read_role(role):
    """Returns the texts of a role in the deploy file."""
    fields, section = {}, ""
    for line in (ROOT / "deploy" / "system.toml").read_text().splitlines():
        if line.startswith("["):
            section = line
        elif section == f"[roles.{role}]" and (match := re.match(r'(\w+) = "(.*)"$', line)):
            fields[match.group(1)] = match.group(2)
    return fields


class Program:
    """A program of the deploy file on one machine."""

    def __init__(self, role, fields, folder, record):
        deploy = read_role(role)
        self.name = fields["nodeName"]
        self.ip = fields["ip"]
        self.front = fields["listen"].get("front", "")
        self.ready = fields["listen"].get("ready", "")
        self.command = deploy["run"].split(" ")
        self.settings = folder / f"{self.name}.settings"
        self.settings.write_text(render((ROOT / deploy["template"]).read_text(), fields))
        self.log = folder / f"{self.name}.log"
        self.record = record
        self.child = None
        self.disturbed = 0.0  # time at which the latest disruption of it ended

    async def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "JAVA_HOME", "LANG") if name in os.environ}
        environment["FIRWHEEL_SETTINGS"] = str(self.settings)
        with open(self.log, "ab") as output:
            self.child = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=output, stderr=output)
        self.record.write(self.name, f"started, process {self.child.pid}")

    def signal(self, name):
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(getattr(signal, "SIG" + name))
            self.disturbed = time.monotonic()
            self.record.write(self.name, f"SIG{name}")

    async def kill(self):
        if self.child is not None and self.child.returncode is None:
            self.child.kill()
            await self.child.wait()

    async def is_ready(self):
        try:
            ip, port = self.ready.split(":")
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 0.5)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def await_ready(self):
        until = time.monotonic() + START_SECONDS
        while not await self.is_ready():
            if time.monotonic() > until or self.child.returncode is not None:
                raise SystemExit(2)
            await asyncio.sleep(0.1)


class Run:
    """One request at a worker."""

    def __init__(self, worker, attempt, first_line, headers, body):
        self.worker = worker
        self.attempt = attempt
        self.first_line = first_line
        self.headers = headers
        self.body = body
        self.arrived = time.monotonic()
        self.executed = False


class Worker:
    """A sound worker of a plain service; subclasses behave otherwise."""

    def __init__(self, name, deployment, zone="zone-a", work_seconds=0.02):
        self.name = name
        self.deployment = deployment
        self.record = deployment.record
        self.zone = zone
        self.work_seconds = work_seconds
        self.born = int(time.time() * 1000)
        self.cold_millis = 0
        self.seq = 0
        self.removed = None  # time at which the store acknowledged that its entry is gone
        self.server = None
        self.ip = deployment.worker_ip
        self.writers = set()

    async def listen(self, port=0):
        self.ended = False
        self.server = await http1.serve(self.ip, self.handle, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        self.seq += 1
        return {"service": SERVICE, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1", "slots": 8,
                "state": state, "coldRemainingMs": self.cold_millis, "seq": self.seq, "born": self.born}

    async def register(self, state="ready"):
        return await self.deployment.store.put("servers", self.name, self.entry(state))

    async def unregister(self):
        self.removed = await self.deployment.store.put("servers", self.name, None)

    def end(self):
        """Ends as a process does: what it runs is cut off, and what is just being accepted."""
        self.ended = True
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.record.write(self.name, "ended")

    async def handle(self, reader, writer):
        if self.ended:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await self.converse(reader, writer)
        finally:
            self.writers.discard(writer)

    async def converse(self, reader, writer):
        while True:
            head = await http1.read_head(reader)
            if head is None:
                return
            body = await http1.read_body(reader, head)
            attempt = head.get("firwheel-attempt-id")
            run = Run(self, attempt, head.first_line, head.headers, body)
            self.deployment.runs.append(run)
            if head.get("firwheel-expect-instance") not in ("", self.name):
                writer.write(http1.head_bytes("HTTP/1.1 421 Misdirected Request", [
                    ("Firwheel-Attempt-Id", attempt), ("Firwheel-Instance-Id", self.name), ("Content-Length", 0)]))
                self.record.write(self.name, f"request {attempt} {head.first_line!r} -> 421")
            else:
                if not await self.respond(run, head, body, writer):
                    return
            await writer.drain()

    async def respond(self, run, head, body, writer):
        """Runs a request; returns whether the connection goes on."""
        run.executed = True
        await asyncio.sleep(self.work_seconds)
        content = f"{run.attempt} by {self.name}\n".encode()
        writer.write(http1.head_bytes("HTTP/1.1 200 OK", [
            ("Firwheel-Attempt-Id", run.attempt), ("Firwheel-Response-Seal", f"seal.{run.attempt}"),
            ("Keep-Alive", "timeout=5"), ("Content-Length", len(content))]) + content)
        self.record.write(self.name, f"request {run.attempt} {run.first_line!r} -> 200")
        return True


class Exchange:
    """One client attempt."""

    def __init__(self, attempt, program, method, path, body):
        self.attempt, self.program, self.method, self.path, self.body = attempt, program, method, path, body
        self.sent = time.monotonic()
        self.status = None
        self.seal = None
        self.content = b""
        self.ended = None
        self.end = "open"


class Deployment:
    def __init__(self, folder, entries=3, zones=("zone-a",)):
        self.folder = folder
        self.record = Record(folder)
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="firwheel-case-"))
        self.network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.worker_ip = f"{self.network}.100"
        self.store_ip = f"{self.network}.200"
        self.store = store_module.Store(self.record)
        self.entry_count = entries
        self.zones = zones
        self.programs = []
        self.workers = []
        self.runs = []
        self.exchanges = []
        self.version = 1
        self.count = 0
        self.tasks = []

    async def configure(self, routes=None, tenants=None):
        self.version += 1
        routes = routes or [self.route("safe", "safe"), self.route("unsafe", "unsafe")]
        return await self.store.put("op", "config", {
            "version": self.version, "routes": routes,
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 104, "protocol": "h1",
                          "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": tenants or [{"name": "tenant-1", "apiKeys": [KEY], "priority": 1}]})

    def route(self, name, kind, **fields):
        return {"name": f"r-{name}", "host": HOST, "prefix": f"/{name}/", "kind": kind, "timeoutMs": 1000,
                "targetLatencyMs": 194, "priority": 2, "service": SERVICE, "maxAttempts": 2, "authExempt": False,
                **fields}

    async def make_program(self, role, index, ip, ports, listen, **fields):
        address = await self.store.listen(self.store_ip, ip)
        zone = self.zones[index % len(self.zones)]
        program = Program(role, {
            "nodeName": f"{role}-{index}", "ip": ip, "zone": zone, "listen": listen,
            "portRange": [ports, ports + 15], "bounds": BOUNDS, "platform": {"address": address}, **fields},
            self.temporary, self.record)
        self.programs.append(program)
        return program

    async def start_entries(self):
        ips = [f"{self.network}.{i + 1}" for i in range(self.entry_count)]
        front, ready, peers = free_ports(ips, 3)
        for i, ip in enumerate(ips):
            await self.make_program("entry", i, ip, peers, {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}"})
        for program in self.programs:
            await program.start()
        for program in self.programs:
            await program.await_ready()

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def request(self, program, method, path, body=b"", deadline_millis=1000, headers=(), key=KEY):
        """Sends one client attempt on a connection of its own, and reads its answer."""
        self.count += 1
        exchange = Exchange(f"{self.count:016x}", program, method, path, body)
        self.exchanges.append(exchange)
        self.record.write("client", f"sends {exchange.attempt} {method} {path} to {program.name}")
        try:
            await asyncio.wait_for(self.converse(exchange, deadline_millis, headers, key), deadline_millis / 1000)
        except asyncio.TimeoutError:
            exchange.end = "given up at the deadline"
        except (http1.Cut, ConnectionError, OSError) as error:
            exchange.end = f"connection ended: {error}"
        exchange.ended = time.monotonic()
        self.record.write("client", f"{exchange.attempt} {exchange.status} {exchange.end} {exchange.content[:60]!r}")
        return exchange

    async def converse(self, exchange, deadline_millis, headers, key):
        ip, port = exchange.program.front.split(":")
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
        try:
            exchange.sent = time.monotonic()
            writer.write(http1.head_bytes(f"{exchange.method} {exchange.path} HTTP/1.1", [
                ("Host", HOST), ("Firwheel-Attempt-Id", exchange.attempt), ("Firwheel-Deadline-Ms", deadline_millis),
                ("Authorization", f"Token {key}"), *headers, ("Content-Length", len(exchange.body))]) + exchange.body)
            head = await http1.read_head(reader)
            if head is None:
                exchange.end = "closed without an answer"
                return
            exchange.status = int(head.first_line.split(" ")[1])
            exchange.seal = head.get("firwheel-response-seal") or None
            exchange.headers = head.headers
            exchange.content = await http1.read_body(reader, head)
            exchange.end = "complete"
        finally:
            writer.close()

    def judge(self, broken, min_served=0.5):
        """Returns whether the rule held, or None if too little was served to say so."""
        served = sum(exchange.status == 200 for exchange in self.exchanges)
        ended = [program.name for program in self.programs if program.child.returncode is not None]
        if ended:
            self.record.say(f"ended by themselves: {ended}")
        if broken:
            return False
        return None if ended or served < min_served * len(self.exchanges) else True

    async def stop(self):
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)  # what is cut off ends in errors
        for task in self.tasks:
            task.cancel()
        for program in self.programs:
            program.signal("CONT")
            program.signal("KILL")
        for program in self.programs:
            await program.kill()
        self.record.close()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.temporary, ignore_errors=True)


def play(case):
    """Runs a case: `case(deployment, trouble)` returns whether the rule held. Exits as the issue asks."""
    folder = pathlib.Path(os.environ.get("CASE_FOLDER", ".")).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        deployment = await case.make(folder)
        main = asyncio.current_task()
        for name in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(name, lambda: main.cancelling() or main.cancel())
        try:
            return await asyncio.wait_for(case.run(deployment, trouble), 112)
        except (Exception, asyncio.CancelledError, SystemExit) as error:  # no fault of the project is shown by it
            deployment.record.say(f"the case could not run: {error!r}; KEEP_LOGS=1 keeps the logs")
            return None
        finally:
            await deployment.stop()

    held = asyncio.run(run())
    raise SystemExit(2 if held is None else 0 if held else BROKEN)
