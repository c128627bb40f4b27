"""Hosts are released while the entries are stopped and started in turn."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
import world_2 as w  # noqa: E402

USERS = 100


async def user(world, target, number, counts):
    """Opens flows for one to six requests each, with short pauses."""
    count = 0
    while not world.stopping:
        flow = world.new_flow(target)
        if not await flow.open():
            counts["not opened"] = counts.get("not opened", 0) + 1
            await asyncio.sleep(.2)
            continue
        for _ in range(random.randint(1, 6)):
            count += 1
            result = await flow.request(f"u{number}-{count}")
            counts[result] = counts.get(result, 0) + 1
            if result != "answered" or world.stopping:
                break
            await asyncio.sleep(random.uniform(.02, .25))
        flow.close()
        await asyncio.sleep(random.uniform(.02, .1))
        del world.flows[flow.key]


async def scenario(world, trouble):
    world.stopping = False
    world.hash_mode = os.environ.get("HASH", "mod")
    await world.start_store()
    target = (world.ip(8, 1), 443)
    world.configure([("meetups", 0.0)],
                    [("signup", target[0], target[1], "unsafe", "meetups", 3000)])
    for number in (1, 2, 3, 4):
        await world.add_entry(number)
    old = [await world.add_host(number, "meetups") for number in range(1, 8)]
    await world.start_clients()
    if not await world.until_ready():
        return False
    await asyncio.sleep(6)

    def on_reset(flow, packet, sender, near):
        host = world.holder(flow)
        if host and near and host.state == "ready":
            world.broken("FLOW", f"client of {flow.name()} gets a reset from {sender}; "
                                 f"{host.name} holds the flow and did not send it")
    world.on_reset = on_reset
    counts = {}
    users = [asyncio.create_task(user(world, target, n, counts)) for n in range(USERS)]
    await asyncio.sleep(2)
    work = []
    if trouble:
        work.append(asyncio.create_task(release(world, old)))
        work.append(asyncio.create_task(roll(world)))
    await asyncio.gather(*work)
    await asyncio.sleep(1)
    world.stopping = True
    await asyncio.gather(*users)
    world.note(f"requests: {counts}")
    return True


async def release(world, hosts):
    """Ten releases, one after the other. Each replaces three of the seven hosts
    (share .43), one at a time, each second; the new one starts first."""
    leaving = []
    for step in range(30):
        host = hosts.pop(0)
        new = await world.add_host(int(host.name[1:]) + 10, "meetups", after_s=.1)
        hosts.append(new)
        await asyncio.sleep(.3)
        leaving.append(asyncio.create_task(host.leave()))
        await asyncio.sleep(.6)
    await asyncio.gather(*leaving)


async def roll(world):
    """Three times: stops and starts the entries in turn, each 1.1 s after the
    last one is back."""
    await asyncio.sleep(4)
    for _ in range(3):
        for entry in world.entries:
            await entry.restart(pause=.3)
            await asyncio.sleep(1.1)


w.run_case(HERE, scenario)
