"""Stand-ins for the platform's store, model replicas, plain replicas and requesters, and the start of the project's own
programs with the commands and the settings templates of the deploy file. Everything is on loopback addresses."""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
CALLERS, READY, PEER, STATUS, STORE = 8740, 8749, 7200, 7215, 8742
HOST = "rites.example"
KEY = "key-of-the-chapel"
TENANT = "chapel"
BEGUN = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - BEGUN


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (now(), text))
            self.file.flush()


class Net:
    """Addresses in 127.0.0.0/8 that nobody uses at present."""

    def __init__(self):
        for _ in range(50):
            self.base = "127.%d.%d." % (random.randint(100, 230), random.randint(1, 250))
            try:
                for port in (STORE, CALLERS, PEER):
                    probe = socket.socket()
                    probe.bind((self.host(1), port))
                    probe.close()
                return
            except OSError:
                continue
        raise RuntimeError("no free addresses")

    def host(self, number):
        return self.base + str(number)


# ---------------------------------------------------------------- HTTP


class Channel:
    """A connection from which requests or answers are read."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        self.buffer += data
        return bool(data)

    def head(self):
        while b"\r\n\r\n" not in self.buffer:
            if not self.fill():
                return None
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def exactly(self, count):
        while len(self.buffer) < count:
            if not self.fill():
                return None
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def line(self):
        while b"\r\n" not in self.buffer:
            if not self.fill():
                return None
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line

    def chunk(self):
        """The next chunk; empty for the last one, None if the connection ended before."""
        size = self.line()
        if size is None:
            return None
        size = int(size.split(b";")[0], 16)
        data = self.exactly(size)
        if data is None or self.line() is None:
            return None
        return data


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = {k: v[0] for k, v in urllib.parse.parse_qs(query).items()}

    def get(self, name, default=""):
        return self.headers.get(name, default)


def head_of(status, headers):
    reasons = {200: "OK", 201: "Created", 204: "No Content", 404: "Not Found", 409: "Conflict", 410: "Gone",
               421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}
    lines = ["HTTP/1.1 %d %s" % (status, reasons.get(status, "Answer"))]
    lines += ["%s: %s" % pair for pair in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer(sock, status, body=b"", headers=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
        headers = list(headers) + [("Content-Type", "application/json")]
    sock.sendall(head_of(status, list(headers) + [("Content-Length", str(len(body)))]) + body)


class Server:
    """Serves a port with a thread for each connection. `handle(sock, request)` returns whether the connection is kept."""

    def __init__(self, ip, port):
        self.address = (ip, port)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(self.address)
        self.listener.listen(512)
        self.open = set()
        self.lock = threading.Lock()
        self.down = False
        threading.Thread(target=self.accept, daemon=True).start()

    @property
    def text(self):
        return "%s:%d" % self.address

    def accept(self):
        while not self.down:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if self.down:
                    sock.close()
                    return
                self.open.add(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        channel = Channel(sock)
        try:
            while True:
                head = channel.head()
                if head is None:
                    break
                first, headers = head
                method, target, _ = first.split(" ", 2)
                if headers.get("transfer-encoding", "").lower() == "chunked":
                    body = b""
                    while True:
                        piece = channel.chunk()
                        if not piece:
                            break
                        body += piece
                else:
                    body = channel.exactly(int(headers.get("content-length", "0"))) or b""
                if not self.handle(sock, Request(method, target, headers, body)):
                    break
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.open.discard(sock)
            sock.close()

    def handle(self, sock, request):
        raise NotImplementedError

    def crash(self):
        """Its process dies: nothing listens, and its connections are reset."""
        with self.lock:
            self.down = True
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            for sock in self.open:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


# ---------------------------------------------------------------- the platform's store


class Store(Server):
    def __init__(self, ip):
        self.objects, self.revision, self.history = {}, 1, []
        self.changed = threading.Condition()
        # When each waiting watch began, and its kind, by its channel; and the channels that went silent for good.
        self.watches, self.silent = {}, set()
        super().__init__(ip, STORE)

    def put(self, kind, name, spec):
        with self.changed:
            self.revision += 1
            known = self.objects.setdefault(kind, {}).get(name)
            created = known["metadata"]["created"] if known else self.revision
            entry = {"metadata": {"name": name, "revision": self.revision, "created": created, "finalizers": [],
                                  "deleting": False}, "spec": spec, "status": None}
            self.objects[kind][name] = entry
            self.history.append((self.revision, kind, entry, False))
            self.changed.notify_all()
            return entry

    def remove(self, kind, name):
        with self.changed:
            entry = self.objects.get(kind, {}).pop(name, None)
            if entry is not None:
                self.revision += 1
                self.history.append((self.revision, kind, entry, True))
                self.changed.notify_all()

    def handle(self, sock, request):
        parts = request.path.strip("/").split("/")
        if parts[:2] != ["api", "objects"] or len(parts) < 3:
            answer(sock, 404)
            return True
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        if request.method == "GET" and "watch" in request.query:
            self.watch(sock, kind, int(request.query["watch"]), int(request.query.get("waitMs", "0")) / 1000)
        elif request.method == "GET" and name is None:
            with self.changed:
                items = sorted(self.objects.get(kind, {}).values(), key=lambda o: o["metadata"]["name"])
                items = [o for o in items if o["metadata"]["name"] > request.query.get("after", "")]
                page = {"items": items, "hasMore": False, "storeRevision": self.revision}
            answer(sock, 200, page)
        elif request.method == "GET":
            found = self.objects.get(kind, {}).get(name)
            answer(sock, 200 if found else 404, found or {})
        elif request.method in ("POST", "PUT"):
            content = json.loads(request.body)
            name = name or content["metadata"]["name"]
            known = self.objects.get(kind, {}).get(name)
            if request.method == "POST" and known:
                answer(sock, 409, known)
            elif request.method == "PUT" and not known:
                answer(sock, 404, {})
            else:
                answer(sock, 200, self.put(kind, name, content.get("spec")))
        else:
            self.remove(kind, name)
            answer(sock, 200, {})
        return True

    def watch(self, sock, kind, after, wait):
        until = time.monotonic() + wait
        with self.changed:
            self.watches[sock] = (kind, time.monotonic())
            while True:
                news = [h for h in self.history if h[0] > after and h[1] == kind]
                left = until - time.monotonic()
                if news or left <= 0:
                    break
                self.changed.wait(left)
            events = [{"object": entry, "deleted": deleted} for _, _, entry, deleted in news]
            page = {"events": events, "storeRevision": self.revision}
            del self.watches[sock]
            is_silent = sock in self.silent
        if is_silent:
            # Nothing comes on this channel any more, and it is not closed either.
            threading.Event().wait()
        answer(sock, 200, page)

    def forget(self, quiet):
        """The channels on which a watch has waited this long go silent. Returns the kinds of these watches."""
        with self.changed:
            old = {s: k for s, (k, at) in self.watches.items() if time.monotonic() - at >= quiet}
            self.silent |= set(old)
            return sorted(old.values())


def server_entry(service, address, zone, slots, born, state="ready"):
    return {"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": state,
            "coldRemainingMs": 0, "seq": 1, "born": born}


def unix_ms():
    return int(time.time() * 1000)


# ---------------------------------------------------------------- replicas

KV_BYTES, LINK_BYTES = 18432, 2700e6 / 8


class Run:
    def __init__(self, identifier, prompt, total, made=0):
        self.id, self.prompt, self.total, self.made = identifier, prompt, total, made
        self.stopped = False
        self.moving = False

    @property
    def tokens(self):
        return self.prompt + 4 * self.made


class Engine(Server):
    """A model replica: streams of events, reports, and copies of runs to other replicas of its service."""

    SLOTS, CAPACITY = 24, 34263

    def __init__(self, net_all, ident, service, ip, port, record, pace=0.1):
        self.all, self.id, self.service, self.record, self.pace = net_all, ident, service, record, pace
        self.born = unix_ms()
        self.runs, self.copies, self.leaves_at, self.answers = {}, {}, None, 0
        self.unframed_every = 0
        self.unframed = []
        self.ran = []
        self.handles = 0
        self.state = threading.RLock()
        self.link = threading.Lock()
        net_all["%s:%d" % (ip, port)] = self
        super().__init__(ip, port)

    def headers(self, request):
        return [("X-Cicadastream-Attempt-Id", request.get("x-cicadastream-attempt-id")),
                ("X-Cicadastream-Server-Load", "%d,0,%d" % (len(self.runs), self.SLOTS)),
                ("X-Cicadastream-Weight-Versions", "1")]

    def handle(self, sock, request):
        if request.path == "/api/report":
            answer(sock, 200, self.report())
        elif request.path == "/healthz":
            answer(sock, 503 if self.leaves_at else 200, b"", [("X-Cicadastream-Instance-Id", self.id)])
        elif request.path == "/api/kv-move":
            self.move(sock, json.loads(request.body))
        elif request.path.startswith("/api/kv-handle/"):
            handle = request.path.rsplit("/", 1)[1]
            for engine in self.all.values():
                with engine.state:
                    engine.copies.pop((self.text, handle), None)
            answer(sock, 204)
        elif request.path.startswith("/api/"):
            answer(sock, 404)
        else:
            return self.generate(sock, request)
        return True

    def used(self):
        return sum(run.tokens for run in list(self.runs.values()) + list(self.copies.values()))

    def report(self):
        with self.state:
            runs = [[run.id, run.tokens, run.made, 5] for run in self.runs.values() if run.made > 0]
            report = {"stage": "colocated", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                      "seq": 0, "queued": 0, "active": len(self.runs), "kvUsed": self.used(),
                      "kvTotal": self.CAPACITY, "kvHandles": len(self.copies), "state": "ready", "runs": runs,
                      "born": self.born}
            if self.leaves_at is not None:
                report["state"] = "draining"
                report["leaves_ms"] = max(0, int((self.leaves_at - time.monotonic()) * 1000))
            return report

    def move(self, sock, order):
        target = self.all.get(order["target"])
        with self.state:
            run = self.runs.get(order["id"])
            if run is None or run.stopped:
                return answer(sock, 404, {})
            if run.moving:
                return answer(sock, 409, {})
            run.moving = True
            copied = getattr(run, "copied", {}).get(order["target"], 0)
        if target is None or target.down or target.used() + run.tokens > self.CAPACITY:
            run.moving = False
            return answer(sock, 503, {})
        if order.get("last"):
            run.stopped = True
            self.record("replica %s stops the run of %s after event %d, to go on at %s"
                        % (self.id, run.id, run.made, target.id))
        with self.link:
            time.sleep((run.tokens - copied) * KV_BYTES / LINK_BYTES)
        with self.state:
            if not hasattr(run, "handle"):
                self.handles += 1
                run.handle = "%s-h%d" % (self.id, self.handles)
            run.copied = {order["target"]: run.tokens}
            run.moving = False
        copy = Run(run.id, run.prompt, run.total, run.made)
        with target.state:
            target.copies[(self.text, run.handle)] = copy
        if order.get("last"):
            with self.state:
                self.copies[(self.text, run.handle)] = copy
        return answer(sock, 200, {"kvHandle": run.handle, "created": run.made})

    def generate(self, sock, request):
        identifier = request.get("x-cicadastream-attempt-id")
        expected = request.get("x-cicadastream-expect-instance")
        if expected and expected != self.id:
            answer(sock, 421, b"", [("X-Cicadastream-Instance-Id", self.id)])
            return True
        memory, last = request.get("kv-from"), request.get("last-event-id")
        counts = request.get("x-cicadastream-token-counts", "100,40").split(",")
        with self.state:
            if memory:
                source, _, handle = memory.partition("/")
                copy = self.copies.pop((source, handle), None)
                run = copy and Run(identifier, copy.prompt, copy.total, int(last or copy.made))
            elif len(self.runs) >= self.SLOTS:
                run = None
            else:
                run = Run(identifier, int(counts[0]), int(counts[1]) // 4, int(last or 0))
            if run is None:
                answer(sock, 503, b"", self.headers(request) + [("X-Cicadastream-Not-Executed", "1")])
                return True
            self.runs[identifier] = run
            self.answers += 1
            plain = self.unframed_every and self.answers % self.unframed_every == 0
            if plain:
                self.unframed.append(identifier)
        self.ran.append((identifier, request.path, bool(memory)))
        self.record("replica %s of %s runs %s (%s)%s%s" % (
            self.id, self.service, identifier, request.path, " from memory" if memory else "",
            ", in an answer without a length" if plain else ""))
        try:
            if not memory:
                time.sleep(run.prompt / 14000.0)
            seal = ("X-Cicadastream-Response-Seal", "seal-%s-%s" % (self.id, identifier))
            framing = ("Connection", "close") if plain else ("Transfer-Encoding", "chunked")
            sock.sendall(head_of(200, self.headers(request) + [seal, ("Content-Type", "text/event-stream"), framing]))
            while run.made < run.total:
                until = time.monotonic() + self.pace
                while time.monotonic() < until and not run.stopped:
                    time.sleep(min(0.02, max(0.0, until - time.monotonic())))
                if run.stopped or self.down:
                    return False
                event = b"id: %d\ndata: %s %d\n\n" % (run.made + 1, identifier.encode(), run.made + 1)
                sock.sendall(event if plain else b"%x\r\n%s\r\n" % (len(event), event))
                run.made += 1
            if not plain:
                sock.sendall(b"0\r\n\r\n")
            self.record("replica %s ends %s after all %d events" % (self.id, identifier, run.total))
            return not plain
        finally:
            with self.state:
                if self.runs.get(identifier) is run:
                    del self.runs[identifier]


class App(Server):
    """A plain replica that works for some time on each request and answers with a signed body."""

    def __init__(self, ident, service, ip, port, record, work):
        self.id, self.service, self.record, self.work = ident, service, record, work
        self.born = unix_ms()
        self.ran = []
        self.active = 0
        super().__init__(ip, port)

    def handle(self, sock, request):
        load = ("X-Cicadastream-Server-Load", "%d,0,6" % self.active)
        name = ("X-Cicadastream-Instance-Id", self.id)
        if request.path == "/healthz":
            answer(sock, 200, b"", [name, load])
            return True
        if request.path.startswith("/api/"):
            answer(sock, 404)
            return True
        identifier = request.get("x-cicadastream-attempt-id")
        expected = request.get("x-cicadastream-expect-instance")
        if expected and expected != self.id:
            answer(sock, 421, b"", [name])
            return True
        self.ran.append((identifier, request.path, False))
        self.active += 1
        work = self.work()
        self.record("replica %s of %s runs %s (%s), for %d ms" % (
            self.id, self.service, identifier, request.path, work * 1000))
        time.sleep(work)
        self.active -= 1
        body = ("done %s" % identifier).encode()
        try:
            answer(sock, 200, body, [("X-Cicadastream-Attempt-Id", identifier), load,
                                     ("X-Cicadastream-Response-Seal", "seal-%s-%s" % (self.id, identifier))])
            self.record("replica %s has answered %s" % (self.id, identifier))
        except OSError:
            self.record("replica %s could not hand out its answer to %s" % (self.id, identifier))
            raise
        return True


# ---------------------------------------------------------------- requesters


class Heard:
    """What a requester got: the status, or None; the body; and whether the answer is complete."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.end = None, {}, b"", False, ""


def request_head(method, path, identifier, extra=(), deadline_ms=20000, length=0):
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: %s" % HOST, "X-Cicadastream-Attempt-Id: %s" % identifier,
             "X-Cicadastream-Deadline-Ms: %d" % deadline_ms, "Authorization: Bearer %s" % KEY,
             "Content-Length: %d" % length]
    return ("\r\n".join(lines + list(extra)) + "\r\n\r\n").encode()


def stream_headers(prompt, output, identifier):
    own = "%x" % (hash(identifier) & 0xFFFFFFFF)
    return ["X-Cicadastream-Model: m", "X-Cicadastream-Token-Counts: %d,%d" % (prompt, output),
            "X-Cicadastream-Prefix-Hash: 5c1e07a2:%d,%s:%d" % (prompt // 4, own, prompt - prompt // 4),
            "X-Cicadastream-Length-Hint: %d" % output]


def read_answer(channel, heard):
    """Reads one answer. `complete` says whether its framing says that it is whole."""
    try:
        head = channel.head()
        if head is None:
            heard.end = "closed without an answer"
            return heard
        first, heard.headers = head
        heard.status = int(first.split(" ")[1])
        if heard.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                piece = channel.chunk()
                if piece is None:
                    heard.end = "cut in the answer"
                    return heard
                if piece == b"":
                    heard.complete = True
                    heard.end = "complete"
                    return heard
                heard.body += piece
        body = channel.exactly(int(heard.headers.get("content-length", "0")))
        heard.complete = body is not None
        heard.body = body or b""
        heard.end = "complete" if heard.complete else "cut in the answer"
    except OSError as error:
        heard.end = "cut (%s)" % error.__class__.__name__
    return heard


def ask(address, head, body=b"", timeout=30.0):
    heard = Heard()
    try:
        sock = socket.create_connection(address, timeout=1.0)
    except OSError as error:
        heard.end = "no connection (%s)" % error.__class__.__name__
        return heard
    with sock:
        sock.settimeout(timeout)
        try:
            sock.sendall(head + body)
        except OSError as error:
            heard.end = "cut while sending (%s)" % error.__class__.__name__
            return heard
        return read_answer(Channel(sock), heard)


# ---------------------------------------------------------------- the project's programs


def fill(template, fields):
    """Fills in a settings template of the deploy file, as far as this project's templates go."""

    def value(path, here):
        for part in path.split("."):
            here = here[int(part)] if isinstance(here, list) else here.get(part)
            if here is None:
                return None
        return here

    def section(match):
        sign, name, inner = match.group(1), match.group(2), match.group(3)
        found = value(name, fields)
        if sign == "^":
            return "" if found else inner
        if found is True:
            return inner
        if not found:
            return ""
        parts = []
        entries = list(found.items())
        for index, (key, entry) in enumerate(entries):
            text = inner.replace("{{@}}", str(key)).replace("{{.}}", str(entry))
            parts.append(text.replace("{{,}}", "," if index + 1 < len(entries) else ""))
        return "".join(parts)

    def plain(match):
        found = value(match.group(1), fields)
        return ",".join(map(str, found)) if isinstance(found, list) else str(found)

    template = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", plain, template)


class Programs:
    """Processes of the project, started with the commands of the deploy file. Ends those that it started."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.running = {}
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            text = file.read()
        self.commands = dict(re.findall(r'\[roles\.(\w+)\]\s+run = "([^"]+)"', text))
        program = os.path.join(ROOT, self.commands["relay"].split()[0])
        if not os.path.exists(program):
            raise RuntimeError("%s is missing: run the build of the deploy file first" % program)

    def start(self, role, name, fields):
        with open(os.path.join(ROOT, "deploy", role + ".ini"), encoding="utf-8") as file:
            settings = fill(file.read(), fields)
        path = os.path.join(self.folder, name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        words = self.commands[role].split()
        words = [words[0]] + [path if word.endswith("settings.yaml") else word for word in words[1:]]
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        process = subprocess.Popen(words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.running[name] = process
        self.record("process %s starts" % name)
        return process

    def signal(self, name, number):
        self.record("process %s gets %s" % (name, signal.Signals(number).name))
        self.running[name].send_signal(number)

    def log(self, name):
        with open(os.path.join(self.folder, name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def end(self):
        for process in self.running.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def relay_fields(name, ip, store, seeds, zones, zone, first):
    return {"nodeName": name, "ip": ip, "zone": zone, "region": zones[zone], "zones": zones,
            "internalPorts": [PEER, STATUS], "limits": {"memoryMb": 110},
            "platform": {"address": "%s:%d" % (store, STORE)}, "seeds": ["%s:8748" % seed for seed in seeds],
            "bootstrap": first, "listen": {"frontend": "%s:%d" % (ip, CALLERS), "ready": "%s:%d" % (ip, READY)},
            "bounds": {"retryBudgetRatio": 0.2, "retryBudgetSlack": 56, "budgetWindowS": 10, "graceS": 8}}


def scout_fields(name, ip, store, seeds, zones, zone, service, app, ports=(PEER, STATUS)):
    return {"nodeName": name, "ip": ip, "zone": zone, "region": zones[zone], "internalPorts": list(ports),
            "platform": {"address": "%s:%d" % (store, STORE)}, "seeds": ["%s:8748" % seed for seed in seeds],
            "service": service, "app": app}


def route(name, prefix, kind, service, timeout, slo, priority, attempts=1, gap=None):
    made = {"name": name, "host": HOST, "pathPrefix": prefix, "type": kind, "timeoutMs": timeout, "sloMs": slo,
            "priority": priority, "service": service, "maxAttempts": attempts, "anonymous": False}
    if gap:
        made.update({"sticky": True, "resumable": False, "gapTargetMs": gap})
    return made


def engine_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 252, "protocol": "h1", "tls": False,
            "engine": {"slots": 24, "kvCapacity": 34263, "kvBytes": KV_BYTES, "linkMbps": 2700.0, "moves": True,
                       "backups": False, "stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
                       "handleTtlS": 5.0, "models": [{"name": "m"}]}}


def plain_service(name):
    return {"name": name, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": False}


def config(routes, services):
    return {"version": 7, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]}


def is_ready(ip):
    try:
        sock = socket.create_connection((ip, READY), timeout=0.5)
        with sock:
            sock.settimeout(0.5)
            sock.sendall(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return b" 200 " in sock.recv(100)
    except OSError:
        return False


def wait_for(what, condition, limit=15.0):
    until = time.monotonic() + limit
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError("not reached in time: " + what)


def trouble():
    """Whether the script brings about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder):
    """Runs `case(record, programs)`, which returns the list of what broke the rule, and exits as the scripts do."""
    record = Record(folder)
    programs = None
    code = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        programs = Programs(record)
        broken = case(record, programs)
        for text in broken:
            record("BROKEN: " + text)
            print("broken:", text)
        print("broken" if broken else "held")
        record("the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    except (Exception, SystemExit) as error:  # the case could not run
        record("could not run: %r" % error)
        print("could not run: %r" % error)
    finally:
        if programs is not None:
            programs.end()
    os._exit(code)
