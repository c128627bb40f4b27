"""Heartbeats of another writer, for a service that isn't named, arrive at the
companion of a host. The host then drains.
Rule DRAIN: requests reach the host later than drain_ms after the acknowledgement."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from world import CONTROL, World, call_http, run_case  # noqa: E402


async def write_foreign_beats(world, machine):
    """A writer that beats like a host, but for a service that isn't named here."""
    born = int(time.time() * 1000)
    sequence = 0
    while True:
        sequence += 1
        status = await call_http((machine.address, CONTROL), "PUT", "/api/instances/x-foreign", {
            "service": "named-nowhere", "address": f"{machine.address}:9", "zone": machine.zone, "version": "v1",
            "concurrency": 5, "state": "ready", "warmup_left_ms": 0, "sequence": sequence, "born": born})
        world.record("beat", "x-foreign", f"answered {status}")
        await asyncio.sleep(world.heartbeat_ms / 1000)


async def make(folder, state):
    world = state["world"] = World(folder, ["z1", "z2"])
    await world.start()
    world.configure([world.route(1, "orders")], {"orders": {}})
    world.add_entry("z1")
    world.add_entry("z2")
    for zone in ("z1", "z1", "z2"):
        world.add_host(zone, "orders")
    await world.start_machines()
    await asyncio.sleep(2)
    begin = world.now()
    loads = [asyncio.create_task(world.load(zone, world.route_key(1), 30, begin + 24)) for zone in ("z1", "z2")]
    await asyncio.sleep(5)
    host = world.hosts[0]
    if world.trouble:
        world.tasks.append(asyncio.create_task(write_foreign_beats(world, host.machine)))
    await asyncio.sleep(3)
    acknowledged = await host.drain()
    if acknowledged is None:
        raise RuntimeError("the host has no acknowledgement")
    await asyncio.gather(*loads)
    await asyncio.sleep(3)
    bound = world.bounds["drain_ms"] / 1000
    late = [at - acknowledged for at, taken_by, _ in world.openings
            if taken_by is host and at > acknowledged + bound]
    if late:
        world.violation("DRAIN", f"{host.name} took {len(late)} openings from {late[0]:.1f} to {late[-1]:.1f} s "
                        "after the acknowledgement that it drains")


run_case(__file__, make)
