"""Stand-ins for the users' platform, as their pages describe it: store, routers,
clients, hosts and operator. The programs of the project run as processes beside
them, with the commands of the deploy file, on loopback addresses.

All stand-ins run in one event loop, on the real clock. Nothing outside the
standard library is used.
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
import zlib
from urllib.parse import parse_qs, unquote, urlsplit

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

SYN, ACK, FIN, RST, BOUNCED = 64, 16, 32, 4, 128
HEAD = struct.Struct("<HIBBIIHHIII")  # len echo flags pad sum dst sport dport src seq ack
KEY = b"known to clients and hosts only"

PACKETS, READY, CONTROL, OUTBOUND, APP, STORE = 8172, 8167, 8166, 8162, 8165, 8169


def to_int(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def to_text(address):
    return socket.inet_ntoa(struct.pack(">I", address))


class Packet:
    """One datagram. `sum` is keyed over everything but echo, pad and BOUNCED."""

    __slots__ = ("src", "sport", "dst", "dport", "flags", "seq", "ack", "data", "sum", "echo", "pad")

    def __init__(self, src, sport, dst, dport, flags, seq, ack, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data
        self.sum, self.echo, self.pad = None, 0, 0

    def keyed_sum(self):
        head = HEAD.pack(len(self.data), 0, self.flags & ~BOUNCED, 0, 0, self.dst, self.sport,
                         self.dport, self.src, self.seq, self.ack)
        return zlib.crc32(KEY + head + self.data) or 1

    def encode(self):
        value = self.keyed_sum() if self.sum is None else self.sum
        return HEAD.pack(len(self.data), self.echo, self.flags, self.pad, value, self.dst, self.sport,
                         self.dport, self.src, self.seq, self.ack) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < 32:
            return None
        length, echo, flags, pad, value, dst, sport, dport, src, seq, ack = HEAD.unpack(raw[:32])
        if len(raw) != 32 + length:
            return None
        result = Packet(src, sport, dst, dport, flags, seq, ack, raw[32:])
        result.sum, result.echo, result.pad = value, echo, pad
        return result

    def is_genuine(self):
        return self.sum == self.keyed_sum()


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self.receive = receive

    def datagram_received(self, data, sender):
        self.receive(data, sender)

    def error_received(self, error):
        pass


async def open_datagrams(address, receive):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Datagrams(receive), local_addr=address)
    return transport


async def read_http(reader):
    """Returns (first line, headers, body) of a message; None at the end."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            return None
        head += line
    lines = head.decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def call_http(address, method, target, body=None, limit=1.0):
    """Returns the status of one call on a connection of its own; None: no answer."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(*address)
            data = b"" if body is None else json.dumps(body).encode()
            writer.write((f"{method} {target} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
                          f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                          "Connection: close\r\n\r\n").encode() + data)
            message = await read_http(reader)
            return None if message is None else int(message[0].split()[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's store."""

    def __init__(self):
        self.items = {}
        self.leases = {}
        self.history = []
        self.revision = 100
        self.next_lease = 77000
        self.changed = asyncio.Event()
        self.silenced = 0

    async def open(self, address):
        self.address = address
        self.server = await asyncio.start_server(self.serve, *address)
        self.expiry = asyncio.create_task(self.expire_leases())

    def note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0, revision=None):
        if revision is None:
            self.revision += 1
            revision = self.revision
        created = self.items[key]["create_revision"] if key in self.items else revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "create_revision": created, "lease": lease}
        self.items[key] = item
        self.note(item)
        return revision

    def remove(self, key, revision=None):
        if key in self.items:
            if revision is None:
                self.revision += 1
                revision = self.revision
            del self.items[key]
            self.note({"key": key, "revision": revision, "removed": True})

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if now >= until:
                    self.end_lease(lease)

    def silence_connections(self):
        """The connections that are open go silent for good; new ones work."""
        self.silenced += 1

    async def serve(self, reader, writer):
        opened_at = self.silenced
        try:
            while True:
                message = await read_http(reader)
                if message is None:
                    return
                status, body = await self.answer(*message)
                if self.silenced != opened_at:
                    await asyncio.sleep(3600)
                data = json.dumps(body).encode()
                writer.write((f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, line, _headers, body):
        method, target, _ = line.split()
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = unquote(parts.path)
        value = json.loads(body) if body else {}
        await asyncio.sleep(0.004)
        if (method, path) == ("GET", "/api/kv-key"):
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "store_revision": self.revision})
        if (method, path) == ("GET", "/api/kv-range"):
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "more_pages": len(keys) > 500, "store_revision": self.revision}
        if (method, path) == ("GET", "/api/kv-watch"):
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]))
        if (method, path) == ("POST", "/api/kv-txn"):
            return self.commit(value)
        if (method, path) == ("POST", "/api/kv-lease"):
            self.next_lease += 1
            ttl = min(max(value["ttl_ms"], 1000), 600000)
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if method == "POST" and path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if method == "DELETE" and path.startswith("/api/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, prefix, after, wait_ms):
        until = time.monotonic() + min(wait_ms, 30000) / 1000
        while True:
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def commit(self, value):
        for row in value.get("expect", []):
            item = self.items.get(row["key"])
            if (0 if item is None else item["revision"]) != row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in value["expect"]
                                       if r["key"] in self.items]}
        if any(i.get("lease", 0) and i["lease"] not in self.leases for i in value.get("put_items", [])):
            return 404, {}
        if any(k.startswith(("op/", "servers/")) for k in
               [i["key"] for i in value.get("put_items", [])] + value.get("delete_keys", [])):
            return 403, {}
        self.revision += 1
        revision = self.revision
        for item in value.get("put_items", []):
            self.put(item["key"], base64.b64decode(item["value"]), item.get("lease", 0), revision)
        for key in value.get("delete_keys", []):
            self.remove(key, revision)
        return 200, {"revision": revision}


class Machine:
    """A machine of the system with its one process."""

    def __init__(self, world, name, role, zone, address, service=None):
        self.world, self.name, self.role, self.zone, self.address = world, name, role, zone, address
        self.service = service
        self.process = None
        self.in_rotation = False
        self.misses = 0
        self.starts = 0

    def settings(self):
        side = self.role == "companion"
        lines = {
            "node_name": self.name, "role": self.role, "machine_class": "side" if side else "front",
            "serves": "side" if side else "front", "ip": self.address, "zone": self.zone, "region": "r",
            **{f"zones.{zone}": "r" for zone in self.world.zones},
            "bind_addrs.datagram_addr": f"{self.address}:{PACKETS}",
            "bind_addrs.readiness_addr": f"{self.address}:{READY}",
            "port_range": "7720,7735", "bootstrap": "false" if self.starts else "true",
            "limits.cpu_quota": "0.15" if side else "0.25", "limits.cores": "1",
            "limits.memory_mb": "128" if side else "260", "limits.max_fds": "4096",
            "limits.bandwidth_mbps": "1000.0", "limits.disk_mb": "0", "discovery": "local",
            "entry_kind": "announce", "heartbeat_ms": self.world.heartbeat_ms,
            "contracts": "base,drain,config,cost,recover,flows,places,platform",
            "fault_tolerance.machines": "1", "fault_tolerance.zones": "1", "fault_tolerance.regions": "0",
            **{f"bounds.{key}": value for key, value in self.world.bounds.items()},
            "hash_mode": "steady", "deployment_mode": "agent",
            "platform.address": f"{self.world.store.address[0]}:{self.world.store.address[1]}",
            "platform.deployment_mode": "kv", "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000", "platform.history_s": "20",
            "platform.value_bytes": "1048576", "platform.ttl_min_ms": "1000",
        }
        if side:
            lines.update({"bind_addrs.outbound": f"{self.address}:{OUTBOUND}",
                          "bind_addrs.control_plane": f"{self.address}:{CONTROL}",
                          "app": f"{self.address}:{APP}", "service": self.service})
        return "".join(f"{key}={value}\n" for key, value in lines.items())

    def start(self):
        path = os.path.join(self.world.folder, self.name + ".conf")
        with open(path, "w") as file:
            file.write(self.settings())
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["MASTICSLIP_NODE_FILE"] = path
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            ["target/masticslip_node", self.role, "--metrics-port", "9464"], cwd=REPOSITORY,
            env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.world.processes.append(self.process)
        self.starts += 1
        self.world.record("process", self.name, "started")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.world.record("process", self.name, signal.Signals(number).name)

    async def ended(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.01)
        self.world.record("process", self.name, f"ended {self.process.returncode}")

    async def stop_and_start(self, pause=0.5, grace=6.0):
        """SIGTERM, SIGKILL after the grace, and a new start."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.ended(), grace)
        except TimeoutError:
            self.signal(signal.SIGKILL)
            await self.ended()
        await asyncio.sleep(pause)
        self.start()

    async def kill_and_start(self, pause=0.5):
        self.signal(signal.SIGKILL)
        await self.ended()
        await asyncio.sleep(pause)
        self.start()

    async def poll_readiness(self):
        while True:
            status = await call_http((self.address, READY), "GET", "/api/ready", limit=0.4)
            self.misses = 0 if status == 200 else self.misses + 1
            was = self.in_rotation
            if status == 200:
                self.in_rotation = True
            elif self.misses >= 2:
                self.in_rotation = False
            if was != self.in_rotation:
                self.world.record("rotation", self.name, "in" if self.in_rotation else "out")
            await asyncio.sleep(0.5)


class Routers:
    """Forward clients' packets to an entry of the client's zone."""

    def __init__(self, world):
        self.world = world

    async def open(self, address):
        self.socket = await open_datagrams((address, 0), lambda data, sender: None)

    def entry_for(self, zone, packet):
        of_zone = [m for m in self.world.entries if m.zone == zone]
        usable = [m for m in of_zone if m.in_rotation]
        if len(usable) * 2 < len(of_zone):
            usable = of_zone if usable else ([m for m in self.world.entries if m.in_rotation] or of_zone)
        text = struct.pack("<IHIH", packet.src, packet.sport, packet.dst, packet.dport)
        return max(usable, key=lambda m: zlib.crc32(m.name.encode() + text) * 2654435761 % 4294967291)

    def forward(self, zone, packet):
        entry = self.entry_for(zone, packet)
        self.socket.sendto(packet.encode(), (entry.address, PACKETS))
        return entry


class HostFlow:
    def __init__(self, seq, key):
        self.seq = seq
        self.key = key
        self.open = False
        self.expected = None
        self.last_request = None
        self.answer = None
        self.answer_acked = True
        self.sent = 1
        self.fin_sent = self.fin_seen = False


class Host:
    """A host beside a companion. Requests are one packet, so are answers."""

    def __init__(self, world, machine, name, slots=5, queue=20, work=0.06):
        self.world, self.machine, self.name = world, machine, name
        self.slots, self.queue_limit, self.work = slots, queue, work
        self.flows, self.waiting, self.busy = {}, [], 0
        self.sequence = 0
        self.state = "ready"
        self.warm_at = 0.0
        self.alive = False
        self.runs = []
        self.random = random.Random(name)

    async def start(self, cold_s=0.0):
        self.born = int(time.time() * 1000)
        self.alive = True
        self.warm_at = time.monotonic() + cold_s
        self.udp = await open_datagrams((self.machine.address, APP), self.on_datagram)
        self.tcp = await asyncio.start_server(self.serve_health, self.machine.address, APP)
        self.beats = asyncio.create_task(self.send_beats())
        self.world.record("host", self.name, "started")

    def crash(self):
        self.alive = False
        self.udp.close()
        self.tcp.close()
        self.beats.cancel()
        for key in self.flows:
            self.world.on_flow_closed(self, key)
        self.flows, self.waiting, self.busy = {}, [], 0
        self.world.record("host", self.name, "ended")

    async def leave(self):
        """After drain(): says that it is gone, and ends."""
        await call_http((self.machine.address, CONTROL), "DELETE", "/api/instances/" + self.name,
                        {"born": self.born})
        self.crash()

    async def serve_health(self, reader, writer):
        try:
            while await read_http(reader) is not None:
                status = 200 if self.state == "ready" else 503
                writer.write(f"HTTP/1.1 {status} x\r\nX-Masticslip-Instance-Id: {self.name}\r\n"
                             "Content-Length: 0\r\n\r\n".encode())
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def beat(self):
        self.sequence += 1
        left = max(0, int((self.warm_at - time.monotonic()) * 1000))
        return {"service": self.machine.service, "address": f"{self.machine.address}:{APP}",
                "zone": self.machine.zone, "version": "v1", "concurrency": self.slots,
                "state": self.state, "warmup_left_ms": left, "sequence": self.sequence,
                "born": self.born}

    async def send_beat(self):
        body = self.beat()
        status = await call_http((self.machine.address, CONTROL), "PUT", "/api/instances/" + self.name, body)
        if status != 200:
            self.world.record("beat", self.name, f"no acknowledgement ({status})")
        return status == 200

    async def send_beats(self):
        while True:
            await self.send_beat()
            await asyncio.sleep(self.world.heartbeat_ms / 1000)

    async def drain(self):
        """Says that it leaves; returns the time of the acknowledgement, or None."""
        self.state = "draining"
        self.world.record("host", self.name, "drains")
        if not await self.send_beat():
            return None
        self.world.record("host", self.name, "has the acknowledgement that it drains")
        return time.monotonic()

    def send(self, packet):
        self.udp.sendto(packet if isinstance(packet, bytes) else packet.encode(),
                        (self.machine.address, OUTBOUND))

    def reply(self, key, flags, seq, ack, data=b""):
        src, sport, dst, dport = key
        self.send(Packet(dst, dport, src, sport, flags, seq, ack, data))

    def bounce(self, raw):
        packet = bytearray(raw)
        packet[6] |= BOUNCED
        packet[7] = 0
        self.send(bytes(packet))

    def on_datagram(self, raw, _sender):
        packet = Packet.decode(raw)
        if not self.alive:
            return
        if packet is None or not packet.is_genuine():
            self.world.violation("UNASKED", f"{self.name} got a packet that its sender didn't write")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = HostFlow(self.random.getrandbits(32), key)
                self.world.on_opening_taken(self, key)
            self.reply(key, SYN | ACK, flow.seq, packet.seq + 1)
            return
        is_held = flow is not None and (flow.open or packet.ack == (flow.seq + 1) & 0xFFFFFFFF)
        if not is_held:
            self.world.on_foreign_packet(self, key)
            self.bounce(raw)
            return
        if not flow.open:
            flow.open = True
            flow.expected = packet.seq
            self.world.on_flow_open(self, key)
        self.world.on_held_packet(self, key)
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.ack == (flow.seq + flow.sent) & 0xFFFFFFFF:
            flow.answer_acked = True
        if packet.data:
            if packet.seq == flow.expected:
                flow.expected = (flow.expected + len(packet.data)) & 0xFFFFFFFF
                self.take_request(flow, packet.data)
            else:
                self.reply(key, ACK, flow.seq + flow.sent, flow.expected)
        if packet.flags & FIN:
            flow.fin_seen = True
            self.reply(key, FIN | ACK, flow.seq + flow.sent, packet.seq + 1)
            flow.fin_sent = True
            self.world.on_flow_closed(self, key)

    def take_request(self, flow, data):
        request = data.split(b"X-Masticslip-Request-Id: ", 1)[1].split(b"\r\n", 1)[0].decode()
        if len(self.waiting) >= self.queue_limit and self.busy >= self.slots:
            self.answer(flow, request, 503)
            return
        self.waiting.append((flow, request))
        self.work_on()

    def work_on(self):
        while self.busy < self.slots and self.waiting:
            flow, request = self.waiting.pop(0)
            self.busy += 1
            self.runs.append(request)
            self.world.on_run(self, request, flow.key)
            is_cold = time.monotonic() < self.warm_at
            seconds = self.work * self.random.uniform(0.7, 1.3) * (1.6 if is_cold else 1.0)
            asyncio.get_running_loop().call_later(seconds, self.done, flow, request)

    def done(self, flow, request):
        if not self.alive:
            return
        self.busy -= 1
        self.answer(flow, request, 200)
        self.work_on()

    def answer(self, flow, request, status):
        extra = "X-Masticslip-Not-Executed: 1\r\n" if status == 503 else ""
        head = (f"HTTP/1.1 {status} x\r\nX-Masticslip-Request-Id: {request}\r\n"
                f"X-Masticslip-Response-Signature: {self.name}\r\n{extra}Content-Length: ")
        body = f"{request} by {self.name} ".encode()
        data = f"{head}{len(body)}\r\n\r\n".encode() + body
        flow.answer = (flow.seq + flow.sent, data)
        flow.sent += len(data)
        flow.answer_acked = False
        self.send_answer(flow, flow.sent, 0.2, 0)

    def send_answer(self, flow, mark, pause, tries):
        if not self.alive or self.flows.get(flow.key) is not flow or flow.answer_acked or flow.sent != mark:
            return
        # A draining host closes each flow after its next answer.
        flags = ACK | FIN if self.state == "draining" else ACK
        flow.fin_sent = flow.fin_sent or flags & FIN != 0
        self.reply(flow.key, flags, flow.answer[0], flow.expected, flow.answer[1])
        if tries < 8:
            asyncio.get_running_loop().call_later(
                pause, self.send_answer, flow, mark, min(1.6, pause * 2), tries + 1)


class Attempt:
    """One client attempt: a request on a flow of its own, or on a kept flow."""

    def __init__(self, clients, zone, address, port, route, deadline):
        self.clients, self.zone, self.route, self.deadline = clients, zone, route, deadline
        self.key = (address, port, *route)
        self.seq = clients.random.getrandbits(31)
        self.state = "opening"  # open, answered, reset, failed, closed
        self.request = None
        self.host_seq = None
        self.expected = None
        self.started = time.monotonic()
        self.opened_at = None
        self.resets = []
        self.pending = None

    def packet(self, flags, seq, ack, data=b""):
        src, sport, dst, dport = self.key
        return Packet(src, sport, dst, dport, flags, seq, ack, data)

    def send(self, packet):
        return self.clients.world.routers.forward(self.zone, packet)


class Clients:
    def __init__(self, world, seed):
        self.world = world
        self.random = random.Random(seed)
        self.by_key = {}
        self.next_port = 1024
        self.next_request = 0
        self.counts = {}

    async def open(self, addresses):
        self.addresses = addresses
        self.sockets = [await open_datagrams((a, PACKETS), self.on_datagram) for a in addresses]

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def begin(self, zone, route, deadline=3.0, keep=False):
        address = to_int(self.random.choice(self.addresses))
        self.next_port += 1
        if self.next_port > 65000:
            self.next_port = 1025
        item = Attempt(self, zone, address, self.next_port, route, deadline)
        item.keep = keep
        self.by_key[item.key] = item
        item.request = self.new_request()
        self.world.record("sent", item.request, f"{to_text(address)}:{item.key[1]}>{route_text(route)}")
        self.open_flow(item, 0)
        asyncio.get_running_loop().call_later(deadline, self.give_up, item, item.request)
        return item

    def new_request(self):
        self.next_request += 1
        return f"r{self.next_request:06d}"

    def open_flow(self, item, copy):
        if item.state != "opening":
            return
        entry = item.send(item.packet(SYN, item.seq, copy))
        self.world.record("syn", item.request, f"copy {copy} to {entry.name}")
        delays = (0.2, 0.4, 0.8)
        step = self.open_flow if copy < 2 else self.fail_opening
        asyncio.get_running_loop().call_later(delays[copy], step, item, copy + 1)

    def fail_opening(self, item, _copy):
        if item.state == "opening":
            self.end(item, "not opened")

    def end(self, item, how):
        item.state = how
        self.count(how)
        self.world.record("ended", item.request, how)

    def request_on(self, item, deadline=3.0):
        """A further request on a kept flow."""
        item.request = self.new_request()
        item.state = "open"
        self.world.record("sent", item.request, f"on the open flow of port {item.key[1]}")
        self.send_request(item)
        asyncio.get_running_loop().call_later(deadline, self.give_up, item, item.request)

    def send_request(self, item):
        text = (f"POST /x HTTP/1.1\r\nHost: x\r\nX-Masticslip-Request-Id: {item.request}\r\n"
                "Content-Length: 700\r\n\r\n").encode() + b"x" * 700
        item.pending = (item.seq, text)
        item.seq = (item.seq + len(text)) & 0xFFFFFFFF
        self.resend(item, item.request, 0.2)

    def resend(self, item, request, pause):
        if item.state != "open" or item.request != request:
            return
        item.send(item.packet(ACK, item.pending[0], item.expected, item.pending[1]))
        asyncio.get_running_loop().call_later(pause, self.resend, item, request, min(1.6, pause * 2))

    def give_up(self, item, request):
        if item.request == request and item.state in ("opening", "open"):
            self.end(item, "deadline")

    def close(self, item):
        self.world.on_client_closed(item)
        self.send_fin(item, 0)

    def send_fin(self, item, tries):
        if item.state == "closed" or tries > 3:
            return
        item.send(item.packet(FIN | ACK, item.seq, item.expected))
        asyncio.get_running_loop().call_later(0.2 * 2 ** tries, self.send_fin, item, tries + 1)

    def on_datagram(self, raw, _sender):
        packet = Packet.decode(raw)
        if packet is None:
            self.world.violation("MIXED", "a client got a datagram that is no packet")
            return
        item = self.by_key.get((packet.dst, packet.dport, packet.src, packet.sport))
        is_own_reset = packet.flags == RST and packet.sum == 0 and not packet.data
        if not is_own_reset and not packet.is_genuine():
            self.world.violation("MIXED", "a client got a packet that its sender didn't write")
            return
        if item is None:
            return
        if is_own_reset:
            item.resets.append(time.monotonic())
            self.world.on_reset(item, packet)
            if item.state == "opening":
                self.end(item, "reset before it opened")
            elif item.state == "open":
                distance = abs((packet.seq - item.expected + 2 ** 31) % 2 ** 32 - 2 ** 31)
                # Outside the window of the pages it is no valid reset.
                self.world.record("reset", item.request, f"on an open flow, distance {distance}")
                if distance <= 76800:
                    self.end(item, "reset while open")
            return
        if packet.flags & RST:
            if item.state in ("opening", "open"):
                self.end(item, "reset by host")
            return
        if packet.flags & SYN:
            if item.state == "opening":
                item.state = "open"
                item.opened_at = time.monotonic()
                item.host_seq = packet.seq
                item.seq = (item.seq + 1) & 0xFFFFFFFF
                item.expected = (packet.seq + 1) & 0xFFFFFFFF
                self.send_request(item)
            return
        if item.expected is None:
            return
        if packet.flags & FIN and not packet.data:
            if item.state != "closed" and item.state != "open":
                item.state = "closed"
            return
        if packet.data and packet.seq == item.expected:
            item.expected = (item.expected + len(packet.data)) & 0xFFFFFFFF
            request = packet.data.split(b"X-Masticslip-Request-Id: ", 1)[1].split(b"\r\n", 1)[0].decode()
            status = int(packet.data.split()[1])
            if request != item.request:
                self.world.violation("MIXED", f"{item.request} got the answer of {request}")
            if item.state == "open":
                self.end(item, f"answered {status}")
                if not item.keep or packet.flags & FIN:
                    item.keep = False
                    self.close(item)
                else:
                    item.send(item.packet(ACK, item.seq, item.expected))
        elif packet.data:
            item.send(item.packet(ACK, item.seq, item.expected))


def route_text(route):
    return f"{to_text(route[0])}:{route[1]}"


class World:
    heartbeat_ms = 770
    bounds = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 4,
              "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000,
              "rollback_slack_ms": 250, "outer_ms": 12000, "warmup_factor": 1.5, "warmup_slack": 5,
              "evacuate_ms": 5000, "recover_s": 12, "reorder_ms": 2000, "flow_ttl_s": 60}

    def __init__(self, case_folder, zones, seed=1):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.case_folder = case_folder
        self.zones = zones
        self.network = self.reserve_network()
        self.folder = tempfile.mkdtemp(prefix="masticslip-review-")
        self.started = time.monotonic()
        self.file = open(os.path.join(case_folder, "record.txt"), "w")
        self.entries, self.companions, self.hosts, self.tasks = [], [], [], []
        self.flow_open, self.violations, self.run_count = {}, [], {}
        self.openings = []
        self.store, self.routers, self.clients = Store(), Routers(self), Clients(self, seed)
        self.version = 0
        self.side_count = 0
        self.processes = []

    def reserve_network(self):
        """Second octet of all addresses. Holds a socket, so that no other case uses it."""
        for offset in range(200):
            network = 16 + (os.getpid() + offset) % 200
            self.reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self.reservation.bind((f"127.{network}.0.3", STORE))
                return network
            except OSError:
                self.reservation.close()
        raise RuntimeError("no free network")

    def address(self, group, number):
        return f"127.{self.network}.{group}.{number}"

    def now(self):
        return time.monotonic() - self.started

    def record(self, kind, what, text=""):
        if self.file.closed:
            return
        self.file.write(f"{self.now():9.3f} {kind:9s} {what} {text}\n")

    def violation(self, rule, text):
        self.violations.append((rule, text))
        self.record("BROKEN", rule, text)

    # What hosts and clients see. Cases add their checks to these.
    def on_opening_taken(self, host, key):
        self.openings.append((time.monotonic(), host, key))

    def on_flow_open(self, host, key):
        self.flow_open.setdefault(key, (time.monotonic(), host))
        self.record("open", f"{to_text(key[0])}:{key[1]}", f"at {host.name}")

    def on_flow_closed(self, host, key):
        self.flow_open.pop(key, None)

    def on_client_closed(self, item):
        pass

    def on_foreign_packet(self, host, key):
        pass

    def on_held_packet(self, host, key):
        pass

    def on_run(self, host, request, key):
        self.run_count[request] = self.run_count.get(request, 0) + 1
        self.record("run", request, f"by {host.name}")
        if self.run_count[request] > 1:
            self.violation("once", f"{request} ran {self.run_count[request]} times")

    def on_reset(self, item, packet):
        pass

    def add_entry(self, zone):
        number = len(self.entries) + 1
        self.entries.append(Machine(self, f"front-{zone}-{number}", "entry", zone, self.address(1, number)))
        return self.entries[-1]

    def add_host(self, zone, service, **options):
        self.side_count += 1
        number = self.side_count
        machine = Machine(self, f"side-{zone}-{number}", "companion", zone, self.address(2, number), service)
        self.companions.append(machine)
        self.hosts.append(Host(self, machine, f"i-{number:08x}", **options))
        return self.hosts[-1]

    def configure(self, routes, services, idle_timeout_ms=15000):
        self.version += 3
        value = {"version": self.version, "routes": routes,
                 "services": [{"name": s, "health_path": "/healthz", "max_connections": 2000,
                               "protocol": "h1", "tls": False, "warmup_s": 2.0, "warmup_per_s": 0.0,
                               **services[s]} for s in services],
                 "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                            "header_timeout_ms": 3000, "idle_timeout_ms": idle_timeout_ms}}
        self.store.put("op/config", json.dumps(value).encode())
        self.record("operator", "op/config", json.dumps(value))

    def route(self, number, service, kind="unsafe", timeout_ms=3000, target_ms=200, priority=1):
        return {"name": f"r-{number}", "hostname": self.address(9, number), "prefix": "/443/", "type": kind,
                "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": priority,
                "service": service, "attempts": 2}

    def route_key(self, number):
        return to_int(self.address(9, number)), 443

    async def start(self):
        await self.store.open((self.address(0, 1), STORE))
        await self.routers.open(self.address(0, 2))
        await self.clients.open([self.address(5, n) for n in range(1, 5)])

    async def start_machines(self):
        for machine in self.entries + self.companions:
            machine.start()
        for machine in self.entries:
            self.tasks.append(asyncio.create_task(machine.poll_readiness()))
        for host in self.hosts:
            await host.start()
        until = time.monotonic() + 15
        while not all(m.in_rotation for m in self.entries):
            if time.monotonic() > until:
                raise RuntimeError("the entries did not become ready")
            await asyncio.sleep(0.1)

    async def load(self, zone, route, per_second, until, deadline=3.0):
        """Requests with a flow each, at random times, until a moment of now()."""
        due = self.now()
        while due < until:
            due += self.clients.random.expovariate(per_second)
            await asyncio.sleep(max(0.0, due - self.now()))
            self.clients.begin(zone, route, deadline)

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.record("counts", json.dumps(self.clients.counts))
        self.file.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_file, make, limit=115):
    """Runs `make(world)`, a coroutine, and exits with 0, 1 or 2."""
    folder = os.path.dirname(os.path.abspath(case_file))

    async def guarded():
        state = {}
        try:
            async with asyncio.timeout(limit):
                await make(folder, state)
        finally:
            if "world" in state:
                state["world"].stop()
        return state["world"]

    try:
        world = asyncio.run(guarded())
    except Exception as error:  # noqa: BLE001: any failure means that the case couldn't run
        print(f"the case couldn't run: {error!r}")
        sys.exit(2)
    for rule, text in world.violations[:20]:
        print(f"{rule} broken: {text}")
    print(f"trouble={int(world.trouble)} violations={len(world.violations)} {json.dumps(world.clients.counts)}")
    sys.exit(1 if world.violations else 0)
