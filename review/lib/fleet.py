"""Stand-ins and helpers of the review's scripts.

A `Fleet` starts instances of the project as processes, with the command of the
deploy file, before a store and backend servers that live in this process. They
follow PROTOCOL.md and DEPLOY.md of the users' pages. Everything listens on
loopback addresses of its own.
"""

import ctypes
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))



def free_ports(count):
    """Ports that are free on all addresses; they are the same on all machines."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


(
    FRONT_PORT,
    READY_PORT,
    CONTROL_PORT,
    DIRECTORY_PORT,
    WORKER_PORT,
    UNUSED_PORT,
    STORE_PORT,
) = free_ports(7)

HOST = "fleet.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"

# Bounds of the users' sheets, in seconds.
CONTACT = 4.0
DRAIN = 2.5
GRACE = 8.0


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_script():
    """Runs in a new process: it is killed when the script ends, even by SIGKILL."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class CannotRun(Exception):
    """The case could not be played; says nothing of the rule."""


class Record:
    """record.txt of a case: one line an event, with the time since the start."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self._lock:
            self._file.write("%8.3f %s\n" % (self.now(), text))
            self._file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


# ---------------------------------------------------------------- HTTP bytes


class Message:
    """A request or an answer as read from a socket."""

    def __init__(self, first_line, fields):
        self.first_line = first_line
        self.fields = fields
        self.body = b""

    def field(self, name):
        name = name.lower()
        for each, value in self.fields:
            if each.lower() == name:
                return value
        return ""


class Reader:
    """Reads messages from one connection."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _more(self):
        got = self.sock.recv(65536)
        if not got:
            raise EOFError
        self.buffer += got

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            self._more()
        raw, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = raw.decode("latin-1").split("\r\n")
        fields = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
        return Message(lines[0], fields)

    def exactly(self, count):
        while len(self.buffer) < count:
            self._more()
        taken, self.buffer = self.buffer[:count], self.buffer[count:]
        return taken

    def line(self):
        while b"\r\n" not in self.buffer:
            self._more()
        taken, self.buffer = self.buffer.split(b"\r\n", 1)
        return taken

    def body(self, message):
        if message.field("Transfer-Encoding").lower() == "chunked":
            parts = []
            while True:
                size = int(self.line().split(b";")[0], 16)
                if size == 0:
                    while self.line():
                        pass
                    return b"".join(parts)
                parts.append(self.exactly(size))
                self.exactly(2)
        return self.exactly(int(message.field("Content-Length") or 0))

    def request(self):
        message = self.head()
        message.body = self.body(message)
        return message


def listen(address, port):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address, port))
    sock.listen(256)
    return sock


class Server:
    """Accepts connections; a thread serves each of them."""

    def __init__(self, address, port):
        self.address = address
        self.port = port
        self.stopped = False
        self._open = set()
        self._listener = listen(address, port)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.stopped:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        reader = Reader(sock)
        self._open.add(sock)
        try:
            while not self.stopped:
                if not self.handle(sock, reader.request()):
                    break
        except (EOFError, OSError):
            pass
        finally:
            self._open.discard(sock)
            sock.close()

    def handle(self, sock, request):
        raise NotImplementedError

    def stop(self):
        """Ends as a process does: nothing listens, all connections are closed."""
        self.stopped = True
        for sock in [self._listener, *self._open]:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self._listener.close()


# ------------------------------------------------------------------- store


class Store(Server):
    """The platform's store: objects by kind and name, lists, watches, writes.

    What a writer stores is kept and given out as the JSON text it wrote."""

    def __init__(self, address, record):
        self.record = record
        self._changed = threading.Condition()
        self._revision = 100
        self._objects = {}  # kind -> name -> (revision, spec text)
        self._history = []  # (revision, kind, event text)
        super().__init__(address, STORE_PORT)

    @staticmethod
    def _object_text(name, revision, spec):
        return (
            '{"metadata":{"name":%s,"revision":%d,"created":1,"finalizers":[],'
            '"deletionPending":false},"spec":%s,"status":null}'
            % (json.dumps(name), revision, spec)
        )

    def put(self, kind, name, spec):
        """Writes as the operator or a backend server does. `spec` is a value, or
        the bytes of its JSON text as str."""
        text = spec if isinstance(spec, str) else json.dumps(spec)
        with self._changed:
            self._revision += 1
            self._objects.setdefault(kind, {})[name] = (self._revision, text)
            event = '{"deleted":false,"object":%s}' % self._object_text(
                name, self._revision, text
            )
            self._history.append((self._revision, kind, event))
            self._changed.notify_all()
            revision = self._revision
        shown = text if len(text) < 200 else text[:100] + "... (%d bytes)" % len(text)
        self.record.write("store: %s/%s accepted at revision %d: %s" % (kind, name, revision, shown))
        return revision

    def delete(self, kind, name):
        with self._changed:
            if name not in self._objects.get(kind, {}):
                return False
            _, text = self._objects[kind].pop(name)
            self._revision += 1
            event = '{"deleted":true,"object":%s}' % self._object_text(
                name, self._revision, text
            )
            self._history.append((self._revision, kind, event))
            self._changed.notify_all()
        self.record.write("store: %s/%s deleted" % (kind, name))
        return True

    def handle(self, sock, request):
        method, target, _ = request.first_line.split(" ")
        path, _, query_text = target.partition("?")
        query = dict(
            each.split("=", 1) for each in query_text.split("&") if "=" in each
        )
        parts = path.strip("/").split("/")
        kind = parts[1] if len(parts) > 1 else ""
        name = parts[2] if len(parts) > 2 else ""
        status, body = self._answer(method, kind, name, query, request.body)
        sock.sendall(
            b"HTTP/1.1 %d X\r\nStore-Era: 1\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n" % (status, len(body)) + body
        )
        return True

    def _answer(self, method, kind, name, query, body):
        if method == "GET" and "watchFromRev" in query:
            return self._watch(kind, int(query["watchFromRev"]), int(query.get("waitMs", 0)))
        if method == "GET" and name:
            with self._changed:
                found = self._objects.get(kind, {}).get(name)
            if found is None:
                return 404, b"{}"
            return 200, self._object_text(name, *found).encode("latin-1")
        if method == "GET":
            with self._changed:
                items = [
                    self._object_text(each, *found)
                    for each, found in sorted(self._objects.get(kind, {}).items())
                    if each > query.get("after", "")
                ]
                at = self._revision
            text = '{"items":[%s],"hasMore":false,"at":%d}' % (",".join(items), at)
            return 200, text.encode("latin-1")
        if method == "DELETE":
            return (200 if self.delete(kind, name) else 404), b"{}"
        value = json.loads(body)
        name = name or value["metadata"]["name"]
        with self._changed:
            known = name in self._objects.get(kind, {})
        if known == (method == "POST"):
            return (409 if known else 404), b"{}"
        revision = self.put(kind, name, value.get("spec"))
        return 200, json.dumps({"metadata": {"name": name, "revision": revision}}).encode()

    def _watch(self, kind, since, wait_ms):
        deadline = time.monotonic() + min(wait_ms, 30000) / 1000
        with self._changed:
            while not self.stopped:
                events = [e for r, k, e in self._history if r > since and k == kind]
                left = deadline - time.monotonic()
                if events or left <= 0:
                    text = '{"events":[%s],"at":%d}' % (",".join(events), self._revision)
                    return 200, text.encode("latin-1")
                self._changed.wait(left)
        return 503, b"{}"


# ----------------------------------------------------------------- workers


class Run:
    """A request that a backend server began to work on."""

    def __init__(self, at, attempt, worker):
        self.at = at
        self.attempt = attempt
        self.worker = worker


class Worker(Server):
    """A sound backend server. `spoil` may send another answer in place of its
    own, and then returns true."""

    def __init__(self, fleet, worker_id, service, address, zone, work_s=0.05, capacity=24):
        self.fleet = fleet
        self.id = worker_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.capacity = capacity
        self.spoil = None
        self.body_of = lambda attempt: ("run of %s at %s" % (attempt, worker_id)).encode()
        self.born = int(time.time() * 1000)
        super().__init__(address, WORKER_PORT)

    def entry(self, state):
        return {
            "service": self.service,
            "address": "%s:%d" % (self.address, self.port),
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": self.born,
        }

    def register(self, state="ready"):
        self.fleet.store.put("servers", self.id, self.entry(state))

    def handle(self, sock, request):
        expected = request.field("Oriolefall-Expect-Instance")
        attempt = request.field("Oriolefall-Attempt-Id")
        if expected and expected != self.id:
            sock.sendall(
                b"HTTP/1.1 421 Misdirected Request\r\nOriolefall-Instance-Id: %s\r\n"
                b"Oriolefall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" % self.id.encode()
            )
            return True
        self.fleet.add_run(Run(self.fleet.record.now(), attempt, self))
        time.sleep(self.work_s)
        head = (
            "HTTP/1.1 200 OK\r\nOriolefall-Attempt-Id: %s\r\n"
            "Oriolefall-Server-Seal: %s.%s\r\n" % (attempt, self.id, attempt)
        ).encode()
        body = self.body_of(attempt)
        if self.spoil is not None:
            if self.spoil(self, sock, attempt, head):
                return True
        sock.sendall(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        return True


# ----------------------------------------------------------------- clients


class Answer:
    """How one request ended for its client."""

    def __init__(self, attempt, sent_at):
        self.attempt = attempt
        self.sent_at = sent_at
        self.ended_at = None
        self.status = 0  # 0: the connection ended without an answer
        self.body = b""
        self.cause = ""
        self.is_whole = False
        self.was_kept = False  # the connection had carried an answer before
        self.closes = False


class Client:
    """A client with one kept connection to an instance."""

    def __init__(self, fleet, instance, receive_buffer=0):
        self.fleet = fleet
        self.instance = instance
        self._receive_buffer = receive_buffer
        self._sock = None
        self._reader = None
        self._answers = 0

    def close(self):
        if self._sock is not None:
            self._sock.close()
        self._sock = None

    def connect(self):
        self.close()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if self._receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer)
        sock.settimeout(1)
        sock.connect((self.instance.address, FRONT_PORT))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._reader = Reader(sock)
        self._answers = 0

    def send(self, method, path, deadline_ms, body=b""):
        """Sends one request; returns its Answer, still open."""
        answer = Answer(self.fleet.next_attempt(), self.fleet.record.now())
        answer.was_kept = self._answers > 0
        self._sock.settimeout(deadline_ms / 1000 + 2)
        head = (
            "%s %s HTTP/1.1\r\nHost: %s\r\nOriolefall-Attempt-Id: %s\r\n"
            "Oriolefall-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n"
            % (method, path, HOST, answer.attempt, deadline_ms, KEY)
        )
        if method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        self._sock.sendall(head.encode() + b"\r\n" + body)
        return answer

    def receive(self, answer):
        try:
            message = self._reader.head()
            answer.status = int(message.first_line.split(" ")[1])
            answer.body = self._reader.body(message)
            answer.is_whole = True
            answer.closes = message.field("Connection").lower() == "close"
            self._answers += 1
        except (EOFError, OSError, ValueError) as error:
            answer.cause = type(error).__name__
        answer.ended_at = self.fleet.record.now()
        self.fleet.add_answer(self.instance, answer)
        if not answer.is_whole or answer.closes:
            self.close()
        return answer

    def ask(self, method, path, deadline_ms, body=b""):
        """One whole request; None if no connection could be made."""
        try:
            if self._sock is None:
                self.connect()
            answer = self.send(method, path, deadline_ms, body)
        except OSError:
            self.close()
            return None
        return self.receive(answer)


# --------------------------------------------------------------- instances


class Instance:
    """One process of the project, started as the deploy file says."""

    def __init__(self, fleet, name, zone, address):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.address = address
        self.process = None
        self.starts = []
        # (time, status) of each end that this script did not ask for.
        self.own_ends = []
        self._is_watched = False
        # No process is started once `stop` has begun.
        self._restart = threading.Lock()
        self._log = os.path.join(fleet.folder, name + ".log")

    def write_settings(self):
        seeds = ",".join("%s:%d" % (each.address, CONTROL_PORT) for each in self.fleet.instances)
        zones = "".join("zones.%s=%s\n" % (z, z.split("-")[0]) for z in self.fleet.zones)
        path = os.path.join(self.fleet.folder, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(
                "nodeName={n}\nrole=instance\nmachineClass=edge\n"
                "serves=edge,control,directory\nip={a}\nzone={z}\nregion={r}\n{zones}"
                "listen.front={a}:{front}\nlisten.ready={a}:{ready}\n"
                "listen.control={a}:{control}\nlisten.directory={a}:{directory}\n"
                "portRange=7340,7355\nseeds={seeds}\nbootstrap=true\ntolerated=false\n"
                "limits.cpuShare=0.25\nlimits.cpus=1\nlimits.memoryMb=260\n"
                "limits.maxFds=4100\nlimits.bandwidthMbps=1000.0\nlimits.diskMb=0\n"
                "discovery=platform\nentry=directory\nheartbeatMs=1200\n"
                "contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform\n"
                "faultTolerance.machines=2\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n"
                "bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=4000\n"
                "bounds.ackMs=5000\nbounds.syncS=4\nbounds.drainMs=2500\nbounds.graceS=8\n"
                "bounds.lossSlackMs=200\nbounds.applyMs=2500\nbounds.backMs=250\n"
                "bounds.maxStretchMs=6000\nbounds.strictRevoke=false\nbounds.revokeMs=5000\n"
                "bounds.retryRatio=0.2\nbounds.retryWindowS=10\nbounds.retryExtra=54\n"
                "bounds.recoveryS=12\nbounds.passMs=250\nbounds.retryAfterS=10\n"
                "bounds.ttl_max_s=5\nprovider.address={store}:{port}\nprovider.form=objects\n"
                "provider.writesPerS=400\nprovider.readsPerS=2000\nprovider.retentionS=20\n"
                "provider.valueBytes=1048576\nprovider.minTtlMs=1000\n".format(
                    n=self.name,
                    a=self.address,
                    z=self.zone,
                    r=self.zone.split("-")[0],
                    zones=zones,
                    seeds=seeds,
                    store=self.fleet.store.address,
                    port=STORE_PORT,
                    front=FRONT_PORT,
                    ready=READY_PORT,
                    control=CONTROL_PORT,
                    directory=DIRECTORY_PORT,
                )
            )
        return path

    def start(self):
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["ORIOLEFALL_SETTINGS"] = self.write_settings()
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(
                self.fleet.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, preexec_fn=end_with_script,
            )
        self.starts.append(self.fleet.record.now())
        self.fleet.record.write("instance %s starts" % self.name)

    def watch_process(self):
        """Starts the process again after a second whenever it ends by itself, as
        the platform does."""
        self._is_watched = True
        threading.Thread(target=self._watch_process, daemon=True).start()

    def _watch_process(self):
        while self._is_watched:
            status = self.process.wait()
            if not self._is_watched:
                return
            self.own_ends.append((self.fleet.record.now(), status))
            self.fleet.record.say("instance %s ended by itself, status %d" % (self.name, status))
            time.sleep(1)
            with self._restart:
                if self._is_watched:
                    self.start()

    def was_in_touch(self, at):
        """Whether the process had run for contactMs then. No script harms the
        links of machines or the store."""
        return at - self.started_at_of(at) >= CONTACT

    def started_at_of(self, at):
        return max(start for start in self.starts if start <= at)

    def is_ready(self):
        try:
            with socket.create_connection((self.address, READY_PORT), timeout=0.5) as sock:
                sock.settimeout(0.5)
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in sock.recv(64)
        except OSError:
            return False

    def signal(self, number):
        self.fleet.record.write("instance %s gets signal %d" % (self.name, number))
        self.process.send_signal(number)

    def stop(self):
        with self._restart:
            self._is_watched = False
            if self.process is not None and self.process.poll() is None:
                self.process.kill()
                self.process.wait()

    def log_tail(self, lines=5):
        with open(self._log, encoding="utf-8", errors="replace") as file:
            return [line.rstrip()[:300] for line in file.readlines()[-lines:]]


# -------------------------------------------------------------------- fleet


class Fleet:
    """Store, backend servers and instances of one case; ends them all."""

    zones = ["north-a", "south-a", "west-a"]

    def __init__(self, case_folder, instances=3):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        pid = os.getpid()
        self._net = "127.%d.%d." % (1 + pid // 250 % 200, pid % 250)
        self._lock = threading.Lock()
        self._attempts = 0
        self.runs = []
        self.answers = []  # (instance, Answer)
        self.workers = []
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            run = re.search(r'^run = "([^"]+)"', file.read(), re.M).group(1)
        self.command = run.split(" ")
        self.command[0] = os.path.join(ROOT, self.command[0])
        if not os.access(self.command[0], os.X_OK):
            raise CannotRun("the deploy build is missing")
        self.store = Store(self._net + "200", self.record)
        self.instances = [
            Instance(self, "edge-%d" % (n + 1), self.zones[n % 3], self._net + str(10 + n))
            for n in range(instances)
        ]

    def add_worker(self, worker_id, service, **more):
        number = len(self.workers)
        worker = Worker(
            self, worker_id, service, self._net + str(100 + number), self.zones[number % 3], **more
        )
        worker.register()
        self.workers.append(worker)
        return worker

    def put_config(self, routes, services):
        self.store.put(
            "config",
            "main",
            {
                "version": 7,
                "routes": routes,
                "services": services,
                "limits": {
                    "headerBytes": 16384,
                    "bodyBytes": 4194304,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
                "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
            },
        )

    def start(self):
        for each in self.instances:
            each.start()
        deadline = time.monotonic() + 10
        while not all(each.is_ready() for each in self.instances):
            if time.monotonic() > deadline:
                raise CannotRun("the instances were not ready in 10 s")
            time.sleep(0.1)
        for each in self.instances:
            each.watch_process()
        self.record.say("all instances are ready")

    def next_attempt(self):
        with self._lock:
            self._attempts += 1
            return "%08x" % self._attempts

    def add_run(self, run):
        with self._lock:
            self.runs.append(run)
        self.record.write("run: %s at worker %s" % (run.attempt, run.worker.id))

    def add_answer(self, instance, answer):
        with self._lock:
            self.answers.append((instance, answer))
        self.record.write(
            "client: %s at %s sent %.3f: %s %s"
            % (
                answer.attempt,
                instance.name,
                answer.sent_at,
                answer.status if answer.is_whole else "NO WHOLE ANSWER",
                answer.cause,
            )
        )

    def stop(self):
        for each in self.instances:
            each.stop()
        for each in self.workers:
            each.stop()
        self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, path, kind, service, timeout_ms, attempts, goal_ms=600):
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": path,
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "goalMs": goal_ms,
        "priority": 2,
        "service": service,
        "maxAttempts": attempts,
        "public": False,
        "sticky": False,
        "resumable": False,
    }


def service(name, max_conns=100):
    return {"name": name, "healthPath": "/health", "maxConns": max_conns, "protocol": "h1", "tls": False}


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def stop_script(*_):
    raise SystemExit(2)


def play(case_folder, case, **options):
    """Runs `case(fleet)`, which returns the text of each breach of the rule.
    Exits with 1 if there is one, 0 if not, 2 if the case couldn't run."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, stop_script)
    fleet = None
    try:
        fleet = Fleet(case_folder, **options)
        breaches = case(fleet)
        for each in breaches:
            fleet.record.say("BROKEN " + each)
        fleet.record.say("%d requests, %d runs" % (len(fleet.answers), len(fleet.runs)))
        fleet.record.say("the rule was broken" if breaches else "the rule held")
        status = 1 if breaches else 0
    except Exception as error:  # says nothing of the rule
        print("could not run: %s: %s" % (type(error).__name__, error), flush=True)
        status = 2
    finally:
        if fleet is not None:
            fleet.stop()
    raise SystemExit(status)
