"""Planned work only: a route is moved to another service (config_change), then
the companions and after them the entries are stopped and started in turn
(roll_term). Clients keep flows open that were opened before the change.
Rule FLOW (b): for reorder_ms three or more of a flow's packets reach other hosts
and none its own."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from world import World, run_case, to_text  # noqa: E402

FLOWS = 30
PAUSE_S = 2.0
IDLE_TIMEOUT_S = 15.0


class Case(World):
    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.foreign, self.own = {}, {}

    def on_foreign_packet(self, host, key):
        opened = self.flow_open.get(key)
        if opened is not None and opened[1] is not host and opened[1].alive:
            self.foreign.setdefault(key, []).append(time.monotonic())
            self.record("foreign", f"{to_text(key[0])}:{key[1]}", f"at {host.name}, open at {opened[1].name}")

    def on_held_packet(self, host, key):
        self.own.setdefault(key, []).append(time.monotonic())

    def on_reset(self, item, packet):
        opened = self.flow_open.get(item.key)
        if opened is None or not opened[1].alive:
            return
        idle = time.monotonic() - max(self.own.get(item.key, [opened[0]]))
        text = f"(a) {item.request} was reset by the system, open at {opened[1].name}, {idle:.1f} s after a packet reached it"
        if idle <= IDLE_TIMEOUT_S:
            self.violation("FLOW", text)
        else:
            # The client has sent packets all the while, but its host has not seen them.
            self.record("note", "FLOW", text)

    def judge(self):
        """Spans of reorder_ms that begin with a packet at another host."""
        span = self.bounds["reorder_ms"] / 1000
        end = time.monotonic()
        for key, times in self.foreign.items():
            for first in times:
                within = [t for t in times if first <= t <= first + span]
                own = [t for t in self.own.get(key, []) if first <= t <= first + span]
                if len(within) >= 3 and not own and first + span < end:
                    after = min((t - first for t in self.own.get(key, []) if t > first), default=None)
                    text = "no packet reached its own until the end" if after is None else \
                        f"the next one reached its own {after:.1f} s later"
                    self.violation("FLOW", f"(b) port {key[1]}: {len(within)} packets reached other hosts within "
                                   f"{span:.0f} s and none its own; {text}")
                    break


async def use_flow(world, zone, until):
    """One client with a flow that it keeps, and pauses between its requests."""
    item = world.clients.begin(zone, world.route_key(1), 5.0, keep=True)
    while world.now() < until:
        while item.state in ("opening", "open"):
            await asyncio.sleep(0.02)
        if not item.state.startswith("answered") and item.state != "deadline":
            return
        await asyncio.sleep(world.clients.random.uniform(0.5, 1.5) * PAUSE_S)
        if item.state == "closed" or not item.keep:
            return
        world.clients.request_on(item, 5.0)
    # Left open at the end: nothing is judged after that.


async def make(folder, state):
    world = state["world"] = Case(folder, ["z1", "z2", "z3"])
    await world.start()
    services = {"orders": {}, "archive": {}}
    before = [world.route(1, "orders", "safe", 2500, 150), world.route(2, "archive", "upload", 8000, 500)]
    world.configure(before, services)
    entries = [world.add_entry("z1"), world.add_entry("z1"), world.add_entry("z2")]
    for zone in world.zones:
        world.add_host(zone, "orders", work=0.03)
        world.add_host(zone, "archive", work=0.01)
    await world.start_machines()
    await asyncio.sleep(2)
    until = world.now() + 38
    tasks = [asyncio.create_task(use_flow(world, "z1", until)) for _ in range(FLOWS)]
    await asyncio.sleep(4)
    if world.trouble:
        world.configure([world.route(1, "archive", "safe", 2500, 150), before[1]], services)
        await asyncio.sleep(4)
        for companion in world.companions:
            await companion.stop_and_start()
            await asyncio.sleep(1.2)
        for entry in entries:
            await entry.stop_and_start()
            await asyncio.sleep(2)
    await asyncio.gather(*tasks)
    await asyncio.sleep(3)
    world.judge()


run_case(__file__, make)
