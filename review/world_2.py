"""Stand-ins for the platform, hosts and clients of a small deployment.

Everything runs on loopback addresses 127.N.x.y and the real clock. The system's
own processes are started with the commands of deploy/system.toml. The stand-ins
follow PROTOCOL.md; where it is silent they behave like a sound platform, host
or client. Used by the run.py of each case.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse
import zlib

SYN, ACK, FIN, RST, BOUNCED = 64, 16, 32, 4, 128
HEAD = struct.Struct("<HIBBIIHHIII")
KEY = 0x5EED1E55
PORT_PACKETS, PORT_READY, PORT_CONTROL = 8172, 8167, 8166
PORT_OUTBOUND, PORT_APP, PORT_STORE = 8162, 8165, 8169
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def ip_number(text):
    a, b, c, d = (int(x) for x in text.split("."))
    return a << 24 | b << 16 | c << 8 | d


def ip_text(number):
    return ".".join(str(number >> s & 255) for s in (24, 16, 8, 0))


class Packet:
    __slots__ = ("src", "sport", "dst", "dport", "flags", "seq", "ack", "data",
                 "sum", "echo", "pad")

    def __init__(self, src, sport, dst, dport, flags, seq, ack, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq, ack, data
        self.echo = self.pad = 0
        self.sum = self.make_sum()

    def make_sum(self):
        body = struct.pack("<IIIHHBII", KEY, self.src, self.dst, self.sport,
                           self.dport, self.flags & ~BOUNCED, self.seq, self.ack)
        return zlib.crc32(body + self.data)

    def encode(self):
        return HEAD.pack(len(self.data), self.echo, self.flags, self.pad, self.sum,
                         self.dst, self.sport, self.dport, self.src, self.seq,
                         self.ack) + self.data

    @staticmethod
    def decode(raw):
        (length, echo, flags, pad, total, dst, sport, dport, src, seq,
         ack) = HEAD.unpack_from(raw)
        p = Packet(src, sport, dst, dport, flags, seq, ack, bytes(raw[32:32 + length]))
        p.sum, p.echo, p.pad = total, echo, pad
        return p


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.handler(data, addr)

    def error_received(self, exc):
        pass


async def open_udp(address, handler):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Datagrams(handler), local_addr=address)
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    return transport


async def http_read(reader):
    """Reads one message: first line, headers, body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    body = b""
    length = int(headers.get("content-length", "0"))
    if length:
        body = await reader.readexactly(length)
    return lines[0], headers, body


async def http_call(host, port, method, path, body=None, limit=1.0):
    """Returns (status, body) or None."""
    async def go():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
                          "Content-Type: application/json\r\nConnection: close\r\n"
                          f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
            first, _, content = await http_read(reader)
            return int(first.split()[1]), content
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(go(), limit)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


class Store:
    """The platform's store: items, leases, transactions and watches."""

    def __init__(self, world):
        self.world = world
        self.items = {}
        self.leases = {}
        self.log = []
        self.revision = 100
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.handler = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, PORT_STORE)
        self.task = asyncio.create_task(self.expire())

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision,
                           "create_revision": old["create_revision"] if old else self.revision,
                           "lease": lease}
        self.log.append((self.revision, key, dict(self.items[key])))
        self.notify()

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.log.append((self.revision, key, {
                "key": key, "revision": self.revision, "removed": True}))
            self.notify()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (end, _) in list(self.leases.items()):
                if end < now:
                    del self.leases[lease]
                    for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                        self.remove(key)

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await http_read(reader)
                method, target, _ = first.split(" ", 2)
                status, answer = await self.answer(method, target, body)
                data = json.dumps(answer).encode()
                writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        await asyncio.sleep(0.004)
        if url.path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "store_revision": self.revision}) if item else (404, {})
        if url.path == "/api/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and k > query.get("after", ""))
            page = keys[:500]
            return 200, {"items": [self.items[k] for k in page],
                         "more_pages": len(page) < len(keys),
                         "store_revision": self.revision}
        if url.path == "/api/kv-watch":
            after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
            while True:
                events = [e for r, k, e in self.log
                          if r > after and k.startswith(query["prefix"])]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "store_revision": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if url.path == "/api/kv-txn":
            call = json.loads(body)
            for row in call.get("expect", []):
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": []}
            for item in call.get("put_items", []):
                if item.get("lease", 0) and item["lease"] not in self.leases:
                    return 404, {}
            for item in call.get("put_items", []):
                self.put(item["key"], base64.b64decode(item["value"]), item.get("lease", 0))
            for key in call.get("delete_keys", []):
                self.remove(key)
            return 200, {"revision": self.revision}
        if url.path == "/api/kv-lease":
            ttl = max(1000, json.loads(body)["ttl_ms"])
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if url.path.startswith("/api/kv-keep/"):
            lease = int(url.path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        return 404, {}


class Proxy:
    """Forwards the connections of one process to the store. hold(prefix) makes
    the open connections silent for good that wait for changes of a prefix."""

    def __init__(self, store_ip):
        self.store_ip = store_ip
        self.connections = []

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, PORT_STORE)

    async def serve(self, reader, writer):
        up_reader, up_writer = await asyncio.open_connection(self.store_ip, PORT_STORE)
        state = {"silent": False, "head": b"", "began": time.monotonic(), "open": True}
        self.connections.append(state)

        async def pump(source, sink, key):
            try:
                while True:
                    data = await source.read(65536)
                    if not data:
                        break
                    if key == "up":
                        state["head"] = (state["head"] + data)[:400]
                    if not state["silent"]:
                        sink.write(data)
                        await sink.drain()
            except OSError:
                pass
            if not state["silent"]:
                sink.close()
        await asyncio.gather(pump(reader, up_writer, "up"),
                             pump(up_reader, writer, "down"))
        state["open"] = False
        if state in self.connections:
            self.connections.remove(state)

    def waiting(self, text):
        return [c for c in self.connections
                if c["open"] and not c["silent"] and text in c["head"]]


class Process:
    """One process of the system."""

    def __init__(self, world, role, name, ip, lines):
        self.world, self.role, self.name, self.ip = world, role, name, ip
        self.file = os.path.join(world.folder, name + ".conf")
        with open(self.file, "w") as out:
            out.write("\n".join(lines) + "\n")
        self.child = None
        self.log = os.path.join(world.folder, name + ".log")

    def start(self):
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["MASTICSLIP_NODE_FILE"] = self.file
        self.child = subprocess.Popen(
            [os.path.join(ROOT, "target/masticslip_node"), self.role] + self.world.flags,
            cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
            stdout=open(self.log, "a"), stderr=subprocess.STDOUT)
        self.world.note(f"{self.name} started")

    def send_signal(self, number):
        self.child.send_signal(number)
        self.world.note(f"{self.name} gets signal {number}")

    async def ended(self):
        while self.child.poll() is None:
            await asyncio.sleep(0.01)
        self.world.note(f"{self.name} has ended with {self.child.returncode}")

    async def restart(self, number=signal.SIGTERM, pause=0.3):
        self.send_signal(number)
        await self.ended()
        await asyncio.sleep(pause)
        self.start()


class Host:
    """A host of a service on a side machine, and its heartbeats."""

    def __init__(self, world, name, ip, service, zone, slots=5, cold_s=0.0):
        self.world, self.name, self.ip, self.service, self.zone = world, name, ip, service, zone
        self.slots, self.cold_s = slots, cold_s
        self.flows = {}
        self.arrivals = []
        self.alive = False
        self.beats = None
        self.state = "ready"
        self.work_s = 0.03
        self.acked_draining = None
        self.on_packet_hook = None
        self.first_sequence = 1

    async def start(self):
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.sequence = self.first_sequence - 1
        self.state = "ready"
        self.flows = {}
        self.alive = True
        self.udp = await open_udp((self.ip, PORT_APP), self.on_datagram)
        self.tcp = await asyncio.start_server(self.health, self.ip, PORT_APP)
        self.beats = asyncio.create_task(self.beat())
        self.world.note(f"host {self.name} starts as {self.id}")

    async def health(self, reader, writer):
        try:
            await http_read(reader)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    def crash(self):
        """Ends at once; sends nothing more."""
        self.alive = False
        self.beats.cancel()
        self.udp.close()
        self.tcp.close()
        self.world.note(f"host {self.name} crashes")

    async def beat_once(self):
        self.sequence += 1
        left = max(0, int((self.started + self.cold_s - time.monotonic()) * 1000))
        state = self.state
        body = {"service": self.service, "address": f"{self.ip}:{PORT_APP}",
                "zone": self.zone, "version": "v1", "concurrency": self.slots,
                "state": state, "warmup_left_ms": left,
                "sequence": self.sequence, "born": self.born}
        answer = await http_call(self.ip, PORT_CONTROL, "PUT", "/api/instances/" + self.id, body)
        if answer and 200 <= answer[0] < 300 and state == "draining" and not self.acked_draining:
            self.acked_draining = time.monotonic()
            self.world.note(f"host {self.name}: draining is acknowledged")
        return answer

    async def beat(self):
        while self.alive:
            asyncio.create_task(self.beat_once())
            await asyncio.sleep(self.world.heartbeat_s)

    async def leave(self, serve_s=3.3):
        """Drains, goes on serving for a while, reports its departure and exits.
        The platform then stops the node beside it."""
        self.state = "draining"
        while not self.acked_draining:
            await self.beat_once()
            await asyncio.sleep(.1)
        await asyncio.sleep(serve_s)
        await http_call(self.ip, PORT_CONTROL, "DELETE", "/api/instances/" + self.id,
                        {"born": self.born})
        self.crash()
        self.process.send_signal(signal.SIGTERM)
        await self.process.ended()

    def send(self, packet):
        self.udp.sendto(packet.encode(), (self.ip, PORT_OUTBOUND))

    def on_datagram(self, raw, addr):
        if not self.alive:
            return
        p = Packet.decode(raw)
        key = (p.src, p.sport, p.dst, p.dport)
        now = time.monotonic()
        self.arrivals.append((now, key, p.flags, p.seq, p.ack))
        if p.sum != p.make_sum() or p.echo or p.pad or p.flags & BOUNCED:
            self.world.broken("UNASKED", f"{self.name} gets a packet that its sender didn't write so")
            return
        if self.on_packet_hook:
            self.on_packet_hook(self, p, now)
        if p.flags & SYN:
            flow = self.flows.get(key)
            if flow is None or flow["peer"] != p.seq:
                flow = {"peer": p.seq, "seq": random.getrandbits(32), "open": False,
                        "next": (p.seq + 1) & 0xFFFFFFFF, "answers": {}}
                flow["out"] = (flow["seq"] + 1) & 0xFFFFFFFF
                self.flows[key] = flow
            self.send(Packet(p.dst, p.dport, p.src, p.sport, SYN | ACK, flow["seq"],
                             (p.seq + 1) & 0xFFFFFFFF))
            return
        flow = self.flows.get(key)
        if flow is not None and flow.get("ended"):
            if p.flags & FIN:
                self.send(Packet(p.dst, p.dport, p.src, p.sport, ACK, flow["out"],
                                 (p.seq + 1) & 0xFFFFFFFF))
            elif p.data:
                self.send(Packet(p.dst, p.dport, p.src, p.sport, RST, p.ack, p.seq))
            return
        if flow is not None and not flow["open"]:
            if p.ack == (flow["seq"] + 1) & 0xFFFFFFFF:
                flow["open"] = True
                flow["opened"] = now
            else:
                flow = None
        if flow is None:
            bounced = Packet.decode(raw)
            bounced.flags |= BOUNCED
            bounced.pad = 0
            self.send(bounced)
            return
        if p.flags & RST:
            del self.flows[key]
            return
        if p.flags & FIN and not p.data:
            self.send(Packet(p.dst, p.dport, p.src, p.sport, ACK | FIN, flow["out"],
                             (p.seq + 1) & 0xFFFFFFFF))
            flow["open"] = False
            flow["ended"] = True
            return
        if not p.data:
            return
        if p.seq == flow["next"]:
            flow["next"] = (p.seq + len(p.data)) & 0xFFFFFFFF
            request = p.data.split(b"X-Masticslip-Request-Id: ")[1].split(b"\r\n")[0].decode()
            self.world.ran(self, request)
            body = f"{self.name} {request}".encode()
            data = (b"HTTP/1.1 200 OK\r\nX-Masticslip-Response-Signature: ok\r\n"
                    + f"X-Masticslip-Instance-Id: {self.id}\r\n".encode()
                    + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            out = flow["out"]
            flow["out"] = (out + len(data)) & 0xFFFFFFFF
            answer = Packet(p.dst, p.dport, p.src, p.sport, ACK, out, flow["next"], data)
            flow["answers"][p.seq] = answer
            asyncio.get_running_loop().call_later(self.work_s, self.send_answer, answer)
        elif p.seq in flow["answers"]:
            self.send(flow["answers"][p.seq])

    def send_answer(self, answer):
        if self.alive:
            self.send(answer)

    def holds(self, key):
        return self.alive and key in self.flows and self.flows[key]["open"]


class Flow:
    """One flow of a client."""

    def __init__(self, world, client_ip, port, target):
        self.world = world
        self.src, self.sport = ip_number(client_ip), port
        self.dst, self.dport = ip_number(target[0]), target[1]
        self.key = (self.src, self.sport, self.dst, self.dport)
        self.seq = random.getrandbits(32)
        self.host_seq = None
        self.opened = asyncio.Event()
        self.answered = asyncio.Event()
        self.resets = []
        self.body = None
        self.last_ack = 0
        self.entry = None

    def packet(self, flags, seq, ack, data=b""):
        return Packet(self.src, self.sport, self.dst, self.dport, flags,
                      seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data)

    async def open(self):
        """Sends the SYN and its copies; true once the flow is open."""
        start = time.monotonic()
        for copy, (at, until) in enumerate(((0, .2), (.2, .6), (.6, 1.4))):
            self.world.route(self, self.packet(SYN, self.seq, copy))
            try:
                await asyncio.wait_for(self.opened.wait(), start + until - time.monotonic())
            except asyncio.TimeoutError:
                continue
            break
        if not self.opened.is_set() or self.resets:
            return False
        self.next = (self.seq + 1) & 0xFFFFFFFF
        self.last_ack = (self.host_seq + 1) & 0xFFFFFFFF
        self.world.route(self, self.packet(ACK, self.next, self.last_ack))
        return True

    def close(self):
        """Closes the flow by a FIN; the answer doesn't matter."""
        if not self.resets:
            self.world.route(self, self.packet(FIN | ACK, self.next, self.last_ack))

    async def request(self, name, deadline=3.0):
        """Sends one request and its retransmissions; returns the outcome."""
        data = (f"POST /{name} HTTP/1.1\r\nHost: x\r\n"
                f"X-Masticslip-Request-Id: {name}\r\nContent-Length: 0\r\n\r\n").encode()
        end, wait = time.monotonic() + deadline, .2
        self.answered.clear()
        self.body = None
        while time.monotonic() < end:
            self.world.route(self, self.packet(ACK, self.next, self.last_ack, data))
            try:
                await asyncio.wait_for(self.answered.wait(),
                                       min(wait, end - time.monotonic()))
                break
            except asyncio.TimeoutError:
                wait = min(1.6, wait * 2)
        if self.resets:
            return "reset"
        if not self.body:
            return "no answer"
        self.next = (self.next + len(data)) & 0xFFFFFFFF
        self.world.route(self, self.packet(ACK, self.next, self.last_ack))
        return "answered"

    def on_packet(self, p, sender):
        if p.flags & RST:
            known = self.opened.is_set()
            near = abs(((p.seq - self.last_ack + 2**31) & 0xFFFFFFFF) - 2**31) <= 76800
            self.world.note(f"client gets a reset of flow {self.name()} from {sender} seq {p.seq} "
                            f"{'near' if near else 'far from'} its last ack, own sum: {p.sum == 0}")
            self.world.on_reset(self, p, sender, near)
            if not known or near:
                self.resets.append((time.monotonic(), sender))
                self.opened.set()
                self.answered.set()
            return
        if p.sum != p.make_sum():
            self.world.broken("MIXED", "client gets a packet that its sender didn't write so")
            return
        if p.flags & SYN:
            if self.host_seq is None:
                self.host_seq = p.seq
                self.opened.set()
            return
        if p.data and p.seq == self.last_ack:
            self.last_ack = (p.seq + len(p.data)) & 0xFFFFFFFF
            self.body = p.data
            self.answered.set()

    def name(self):
        return f"{ip_text(self.src)}:{self.sport}"


def free_network():
    """Second octet of loopback addresses that no other run uses."""
    for step in range(200):
        number = 20 + (os.getpid() + step) % 200
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{number}.0.1", PORT_STORE))
                return number
            except OSError:
                pass
    raise RuntimeError("no free addresses")


class World:
    def __init__(self, folder, network=None, flags=()):
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="masticslip-review-")
        self.network = network or free_network()
        self.flags = list(flags)
        self.heartbeat_s = 1.0
        self.processes, self.hosts, self.entries, self.flows = [], [], [], {}
        self.breaks = []
        self.runs = {}
        self.routes = []
        self.rotation = {}
        self.pinned = None
        self.store_ip = self.ip(0, 1)
        self.store = Store(self)
        self.version = 10
        self.idle_ms = 15000
        self.hash_mode = "steady"

    def ip(self, group, number):
        return f"127.{self.network}.{group}.{number}"

    def note(self, text):
        self.out.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.out.flush()

    def broken(self, rule, text):
        self.breaks.append((rule, text))
        self.note(f"BROKEN {rule}: {text}")

    def ran(self, host, request):
        self.runs.setdefault(request, []).append(host.name)
        self.note(f"{host.name} runs {request}")

    def on_reset(self, flow, packet, sender, near):
        pass

    async def start_store(self):
        await self.store.start(self.store_ip)

    def configure(self, services, routes):
        """routes: (name, ip, port, kind, service, timeout_ms)."""
        self.version += 3
        self.routes = routes
        text = json.dumps({
            "version": self.version,
            "routes": [{"name": n, "hostname": ip, "prefix": f"/{port}/", "type": kind,
                        "timeout_ms": timeout, "target_latency_ms": 200, "priority": 1,
                        "service": service, "attempts": 2}
                       for n, ip, port, kind, service, timeout in routes],
            "services": [{"name": s, "health_path": "/healthz", "max_connections": 2000,
                          "protocol": "h1", "tls": False, "warmup_s": 2.0,
                          "warmup_per_s": w} for s, w in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": self.idle_ms}})
        self.store.put("op/config", text.encode())
        self.note(f"operator writes version {self.version}")

    def settings(self, name, machine, ip, zone, store_ip):
        return [f"node_name={name}", f"machine_class={machine}", f"serves={machine}",
                f"ip={ip}", f"zone={zone}", "region=kgl", "zones.z1=kgl",
                f"bind_addrs.datagram_addr={ip}:{PORT_PACKETS}",
                f"bind_addrs.readiness_addr={ip}:{PORT_READY}",
                "port_range=7720,7735", "bootstrap=true", "in_tolerance=false",
                "limits.cpu_quota=0.25", "limits.cores=1", "limits.memory_mb=128",
                "limits.max_fds=4096", "limits.disk_mb=0", "discovery=local",
                "entry_kind=announce", f"heartbeat_ms={int(self.heartbeat_s * 1000)}",
                "bounds.contact_ms=4000", "bounds.drain_ms=3000", "bounds.grace_s=6",
                "bounds.config_apply_ms=3000", "bounds.rollback_slack_ms=250",
                "bounds.evacuate_ms=5000", "bounds.recover_s=12",
                "bounds.reorder_ms=2000", "bounds.flow_ttl_s=60",
                f"hash_mode={self.hash_mode}",
                "deployment_mode=agent", f"platform.address={store_ip}:{PORT_STORE}",
                "platform.deployment_mode=kv", "platform.ttl_min_ms=1000"]

    async def add_entry(self, number, zone="z1"):
        ip = self.ip(1, number)
        proxy = Proxy(self.store_ip)
        proxy_ip = self.ip(3, number)
        await proxy.start(proxy_ip)
        p = Process(self, "entry", f"front-{number}", ip,
                    self.settings(f"front-{number}", "front", ip, zone, proxy_ip))
        p.proxy = proxy
        p.start()
        self.processes.append(p)
        self.entries.append(p)
        self.rotation[p.name] = 2
        return p

    async def add_host(self, number, service, zone="z1", slots=5, cold_s=0.0, after_s=0.0,
                       first_sequence=1):
        ip = self.ip(2, number)
        lines = self.settings(f"side-{number}", "side", ip, zone, self.store_ip)
        lines += [f"bind_addrs.outbound={ip}:{PORT_OUTBOUND}",
                  f"bind_addrs.control_plane={ip}:{PORT_CONTROL}",
                  f"app={ip}:{PORT_APP}", f"service={service}"]
        p = Process(self, "companion", f"side-{number}", ip, lines)
        p.start()
        self.processes.append(p)
        host = Host(self, f"h{number}", ip, service, zone, slots, cold_s)
        host.process = p
        host.first_sequence = first_sequence
        self.hosts.append(host)
        await asyncio.sleep(after_s)
        await host.start()
        return host

    async def start_clients(self, count=1):
        self.client_udp = {}
        self.fabric = await open_udp((self.ip(0, 2), 0), lambda d, a: None)
        for i in range(1, count + 1):
            ip = self.ip(9, i)
            self.client_udp[ip] = await open_udp((ip, PORT_PACKETS), self.on_client_datagram)
        self.prober = asyncio.create_task(self.probe())

    def on_client_datagram(self, raw, addr):
        p = Packet.decode(raw)
        flow = self.flows.get((p.dst, p.dport, p.src, p.sport))
        if flow:
            flow.on_packet(p, addr[0])

    async def probe(self):
        """Readiness: out of rotation after two misses, in again after a 200."""
        async def one(entry):
            answer = await http_call(entry.ip, PORT_READY, "GET", "/api/ready", limit=.4)
            good = answer is not None and answer[0] == 200
            was = self.rotation[entry.name]
            self.rotation[entry.name] = 0 if good else min(2, was + 1)
            if (was < 2) != (self.rotation[entry.name] < 2):
                self.note(f"{entry.name} is {'in' if good else 'out of'} rotation")
        while True:
            for entry in list(self.entries):
                asyncio.create_task(one(entry))
            await asyncio.sleep(.5)

    def select(self, flow):
        """The router's choice: by `steady` the highest hash among the nodes in
        rotation, by `mod` the hash modulo their number."""
        ready = [e for e in self.entries if self.rotation[e.name] < 2]
        if 2 * len(ready) < len(self.entries):
            ready = self.entries
        if self.hash_mode == "mod":
            return ready[zlib.crc32(str(flow.key).encode()) % len(ready)]
        return max(ready, key=lambda e: zlib.crc32(f"{flow.key}{e.name}".encode()))

    def route(self, flow, packet):
        entry = self.select(flow)
        flow.entry = entry
        self.fabric.sendto(packet.encode(), (entry.ip, PORT_PACKETS))

    def new_flow(self, target, client=1):
        self.next_port = getattr(self, "next_port", 20000) + 1
        flow = Flow(self, self.ip(9, client), self.next_port, target)
        self.flows[flow.key] = flow
        return flow

    def holder(self, flow):
        for host in self.hosts:
            if host.holds(flow.key):
                return host
        return None

    async def until_ready(self, limit=15):
        end = time.monotonic() + limit
        while any(v >= 2 for v in self.rotation.values()):
            if time.monotonic() > end:
                return False
            await asyncio.sleep(.05)
        return True

    def close(self):
        for p in self.processes:
            if p.child and p.child.poll() is None:
                try:
                    p.child.send_signal(signal.SIGCONT)
                    p.child.kill()
                    p.child.wait()
                except OSError:
                    pass
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.out.close()


def run_case(folder, scenario, flags=(), limit=115):
    """Exit status: 1 broken, 0 held, 2 the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(folder, flags=flags)

    async def main():
        return await asyncio.wait_for(scenario(world, trouble), limit)
    sys.unraisablehook = lambda _: None  # connections that are open at the end
    try:
        ran = asyncio.run(main())
    except Exception as error:  # the case couldn't run
        world.note(f"couldn't run: {error!r}")
        ran = False
    finally:
        result = 2
        try:
            if ran:
                result = 1 if world.breaks else 0
            world.note(f"result {result}, trouble {trouble}")
        finally:
            world.close()
    print({0: "held", 1: "broken", 2: "couldn't run"}[result],
          *(f"\n  {r}: {t}" for r, t in world.breaks[:5]))
    sys.exit(result)
