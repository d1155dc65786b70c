"""Stand-ins for the scripts of the second review: the platform's store, servers,
clients and a runner of instances. Only loopback addresses and free ports."""

import asyncio
import ctypes
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{time.monotonic() - START:8.3f} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def parse_head(head):
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_message(reader, read_body=True):
    """Reads one HTTP request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, fields = parse_head(head[:-4])
    body = b""
    if read_body:
        if "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        elif "chunked" in fields.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readline()
                if size == 0:
                    break
    return line, fields, body


def answer(status, body=b"", fields=None, reason="X"):
    text = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n"
    for name, value in (fields or {}).items():
        text += f"{name}: {value}\r\n"
    return text.encode() + b"\r\n" + body


class Store:
    """The platform's metadata store (PROTOCOL.md): kinds, revisions, watches."""

    def __init__(self, record=None):
        self.kinds = {}
        self.history = []
        self.revision = 10
        self.era = None
        self.changed = asyncio.Event()
        self.record = record
        # Called with (method, path, phase); may sleep, or return "drop" or "reset".
        self.trouble = None
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec):
        self.revision += 1
        objects = self.kinds.setdefault(kind, {})
        objects[name] = {
            "metadata": {"name": name, "revision": self.revision, "created": 1,
                         "finalizers": [], "deletionPending": False},
            "spec": spec, "status": {}}
        self.note(kind, objects[name], False)

    def delete(self, kind, name):
        found = self.kinds.get(kind, {}).pop(name, None)
        if found:
            self.revision += 1
            gone = json.loads(json.dumps(found))
            gone["metadata"]["revision"] = self.revision
            self.note(kind, gone, True)
        return found

    def note(self, kind, item, deleted):
        self.history.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, _, body = message
                method, target, _ = line.split(" ")
                verdict = None
                if self.trouble:
                    verdict = await self.trouble(method, target, "before")
                if verdict == "reset":
                    break
                status, value = await self.handle(method, target, body)
                if self.trouble and verdict != "drop":
                    verdict = await self.trouble(method, target, "after")
                if verdict == "reset":
                    break
                if verdict == "drop":
                    await asyncio.sleep(60)
                    break
                fields = {"Content-Type": "application/json"}
                if self.era is not None:
                    fields["Store-Era"] = str(self.era)
                writer.write(answer(status, json.dumps(value).encode(), fields))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(each) for each in url.path.split("/")[2:]]
        kind = parts[0]
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and len(parts) == 1:
            if "watchFromRev" in query:
                return await self.watch(kind, query)
            items = [objects[each] for each in sorted(objects)
                     if each > query.get("after", "")]
            page = self.first_page(items)
            return 200, {"items": page, "hasMore": len(items) > len(page),
                         "at": self.revision}
        if method == "GET":
            found = objects.get(parts[1])
            return (200, found) if found else (404, {})
        if method == "DELETE":
            return (200, {}) if self.delete(kind, parts[1]) else (404, {})
        value = json.loads(body)
        name = value["metadata"]["name"] if method == "POST" else parts[1]
        found = objects.get(name)
        if method == "POST" and found:
            return 409, found
        if method == "PUT" and not found:
            return 404, {}
        expected = value.get("metadata", {}).get("revision") or query.get("revision")
        if found and expected and int(expected) != found["metadata"]["revision"]:
            return 409, found
        if not found or found["spec"] != value.get("spec"):
            self.put(kind, name, value.get("spec"))
        return 200, objects[name]

    @staticmethod
    def first_page(items):
        """500 items or 1 MB at most, but one."""
        page, size = [], 0
        for each in items[:500]:
            size += len(json.dumps(each))
            if page and size > 1_048_576:
                break
            page.append(each)
        return page

    async def watch(self, kind, query):
        since = int(query["watchFromRev"])
        until = time.monotonic() + int(query.get("waitMs", "1000")) / 1000
        while True:
            events = [{"object": item, "deleted": deleted}
                      for revision, each, item, deleted in self.history
                      if each == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker:
    """A server of a service. `behave(worker, line, fields, body, reader, writer)`
    answers one request and returns False to end the connection."""

    def __init__(self, name, service, behave, zone="z-a", capacity=8, ip="127.0.0.1"):
        self.name, self.service, self.behave = name, service, behave
        self.zone, self.capacity, self.ip = zone, capacity, ip
        self.born = int(time.time() * 1000)
        self.sequence = 1
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        return {"service": self.service, "address": f"{self.ip}:{self.port}",
                "zone": self.zone, "version": 1, "capacity": self.capacity,
                "state": state, "warmupLeftMs": 0, "sequence": self.sequence,
                "born": self.born}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if not await self.behave(self, *message, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


def seal(name):
    return f"{name}.{random.getrandbits(32):x}"


def route(name, prefix, service, kind, **more):
    value = {"name": name, "host": "desk.example", "pathPrefix": prefix,
             "service": service, "routeType": kind, "maxAttempts": 2,
             "timeoutMs": 6000, "goalMs": 300, "priority": 1}
    value.update(more)
    return value


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"headerBytes": 16384, "bodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def die_with_parent():
    """Called in a new process: it is killed when the script ends in whatever way."""
    pr_set_pdeathsig = 1
    ctypes.CDLL(None).prctl(pr_set_pdeathsig, signal.SIGKILL)


class Instance:
    """One process of the deploy file, with the settings of a small deployment."""

    def __init__(self, name, store_port, folder, extra=None, zone="z-a"):
        self.name, self.zone = name, zone
        self.ports = {each: free_port()
                      for each in ("front", "ready", "control", "directory")}
        self.settings = os.path.join(folder, name + ".conf")
        self.log_path = os.path.join(folder, name + ".log")
        self.store_port, self.extra = store_port, extra or {}
        self.process = None

    def write_settings(self, seeds):
        lines = {
            "nodeName": self.name, "role": "instance", "machineClass": "edge",
            "serves": "edge,control,directory", "ip": "127.0.0.1",
            "zone": self.zone, "region": "r-" + self.zone[-1],
            "zones.z-a": "r-a", "zones.z-b": "r-b", "zones.z-c": "r-c",
            "portRange": "7340,7355", "bootstrap": "true",
            "seeds": ",".join(f"127.0.0.1:{each}" for each in seeds),
            "limits.cpuShare": 0.25, "limits.cpus": 1, "limits.memoryMb": 260,
            "limits.maxFds": 4100, "discovery": "platform", "entry": "directory",
            "heartbeatMs": 1200,
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
            "bounds.contactMs": 4000, "bounds.drainMs": 2500, "bounds.graceS": 8,
            "bounds.lossSlackMs": 200, "bounds.applyMs": 2500,
            "bounds.retryRatio": 0.2, "bounds.retryWindowS": 10,
            "bounds.retryExtra": 54, "bounds.ttl_max_s": 5,
            "provider.address": f"127.0.0.1:{self.store_port}",
            "provider.form": "objects", "provider.writesPerS": 400,
            "provider.readsPerS": 2000}
        for name, port in self.ports.items():
            lines["listen." + name] = f"127.0.0.1:{port}"
        lines.update(self.extra)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.writelines(f"{name}={value}\n" for name, value in lines.items())

    def start(self):
        environment = {each: os.environ[each] for each in ("PATH", "HOME", "LANG")
                       if each in os.environ}
        environment["ORIOLEFALL_SETTINGS"] = self.settings
        self.log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            [os.path.join(ROOT, "target/oriolefall"), "instance"], cwd=ROOT,
            env=environment, stdout=self.log, stderr=self.log, preexec_fn=die_with_parent)

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, timeout=10):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.ports["ready"])
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return True
            except ConnectionError:
                pass
            await asyncio.sleep(0.05)
        return False


def request(path, attempt, method="POST", body=b"", deadline=4000, fields=None):
    text = (f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\n"
            f"Oriolefall-Attempt-Id: {attempt}\r\n"
            f"Oriolefall-Deadline-Ms: {deadline}\r\n")
    for name, value in (fields or {}).items():
        text += f"{name}: {value}\r\n"
    if body or method in ("POST", "PUT"):
        text += f"Content-Length: {len(body)}\r\n"
    return text.encode() + b"\r\n" + body


async def read_answer(reader):
    """(status, fields, body, how it ended): whole, cut or reset."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None, {}, b"", "closed"
    except ConnectionError:
        return None, {}, b"", "reset"
    line, fields = parse_head(head[:-4])
    status = int(line.split(" ")[1])
    body = b""
    try:
        if "chunked" in fields.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    await reader.readuntil(b"\r\n")
                    return status, fields, body, "whole"
                while size:
                    piece = await reader.read(size)
                    if not piece:
                        return status, fields, body, "closed"
                    body += piece
                    size -= len(piece)
                await reader.readexactly(2)
        if "content-length" in fields:
            left = int(fields["content-length"])
            while left:
                piece = await reader.read(left)
                if not piece:
                    return status, fields, body, "closed"
                body += piece
                left -= len(piece)
            return status, fields, body, "whole"
        while True:
            piece = await reader.read(65536)
            if not piece:
                return status, fields, body, "whole"
            body += piece
    except asyncio.IncompleteReadError:
        return status, fields, body, "closed"
    except ConnectionError:
        return status, fields, body, "reset"


def run(folder, main, limit=110):
    """Runs `main(record, folder of the run)` and exits with its result."""
    async def play(work):
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(main(record, work), limit)

    record = Record(folder)
    with tempfile.TemporaryDirectory() as work:
        try:
            result = asyncio.run(play(work))
        except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
            record.write(f"could not run: {error!r}")
            result = COULD_NOT_RUN
    record.write(f"result {result}")
    print({BROKEN: "rule broken", HELD: "rule held"}.get(result, "could not run"))
    sys.exit(result)
