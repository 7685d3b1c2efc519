"""A node is killed; its clients resume their streams at other nodes."""

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (
    ENGINE,
    Node,
    Store,
    Worker,
    config,
    pick_loopback,
    read_head,
    request_bytes,
    route,
    run_case,
)

EVENTS = 12
EVENT_S = 0.08
LENGTH_S = 8.0
REQUESTS_PER_S = 60
# node_kill: one process of three is killed, and starts again after 3.5 s.
KILL_AT_S, DOWN_S = 3.0, 3.5


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


async def read_events(reader, events):
    """Read a chunked stream into `events`; return whether it ended as complete."""
    text = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        text += (await reader.readexactly(size + 2))[:-2]
        *complete, text = text.split(b"\n\n")
        for item in complete:
            events += [
                int(row[3:]) for row in item.split(b"\n") if row.startswith(b"id:")
            ]
        if size == 0:
            return


async def read_answer(reader, headers, events):
    if "transfer-encoding" in headers:
        await read_events(reader, events)
        return
    body = await reader.readexactly(int(headers["content-length"]))
    events += [int(row[3:]) for row in body.split(b"\n") if row.startswith(b"id:")]


async def main(record, has_trouble, folder, nodes):
    net = pick_loopback()
    store = Store(f"{net}.0.1")
    await store.start()

    async def run(worker, request, writer):
        after = request["headers"].get("last-event-id", "-")
        record.add(f"runs {request['id']} at {worker.name}, Last-Event-Id {after}")
        extra = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(worker.head(request, extra=extra).encode())
        first = 1 if after == "-" else int(after) + 1
        for number in range(first, EVENTS + 1):
            data = event(number)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")

    workers = [
        Worker(f"i-{service}-{n}", service, f"{net}.1.{n}", run, slots=slots)
        for service, slots in (("pond-llm", 8), ("duka-app", 24))
        for n in range(1, 5)
    ]
    for worker in workers:
        await worker.start()
        store.put(f"servers/{worker.name}", worker.entry())
    routes = [
        route(
            "counter-reply",
            "/chat/",
            "stream",
            None,
            Resumable=True,
            GapAimMs=250,
            TrafficSplit=[
                {"Service": "pond-llm", "Weight": 50},
                {"Service": "duka-app", "Weight": 50},
            ],
        )
    ]
    services = [
        {"Name": "pond-llm", "MaxConnections": 909, "Engine": ENGINE},
        {"Name": "duka-app", "MaxConnections": 214},
    ]
    store.put("op/config", config(7, routes, services))
    ips = [f"{net}.2.{n}" for n in (1, 2, 3)]
    seeds = []
    for n, ip in enumerate(ips, 1):
        node = Node(f"front-dar-a-{n}", ip, folder, store, seeds or [f"{ip}:1"])
        seeds.append(f"{ip}:{node.control}")
        nodes.append(node)
        node.start()
    for node in nodes:
        await node.wait_ready()
    ends = Counter()
    broken = []

    async def attempt(name, node, after, events):
        headers = {
            "Dandelionpond_Model": "m",
            "Dandelionpond_Token_Count": "1460,612",
            "Dandelionpond_Prompt_Prefix": f"5c1e07a2:40,{name[:8]}:1420",
        }
        if after is not None:
            headers["Last_Event_Id"] = after
        record.add(f"sent {name} to {node.name}, Last-Event-Id {after}")
        writer = None
        try:
            reader, writer = await asyncio.open_connection(node.ip, node.front)
            data = request_bytes("POST", "/chat/2f", name, 10024, b"prompt", **headers)
            writer.write(data)
            line, answer_headers = await asyncio.wait_for(read_head(reader), 12)
            status = line.split(" ")[1]
            if status == "200":
                await asyncio.wait_for(read_answer(reader, answer_headers, events), 12)
            return status
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            return f"broken channel ({type(error).__name__})"
        finally:
            if writer is not None:
                writer.close()

    async def send(number):
        node = nodes[number % len(nodes)]
        events = []
        end = await attempt(f"{number:08x}00000001", node, None, events)
        record.add(f"answered {number:08x}00000001 {end}, events {events}")
        if end.startswith("broken") and events:
            # The client's one retry goes on at the last event that it has.
            other = nodes[(number + 1) % len(nodes)]
            more = []
            name = f"{number:08x}00000002"
            end = await attempt(name, other, events[-1], more)
            record.add(f"answered {name} {end}, events {more}")
            end = f"resumed, {end}"
            if set(more) & set(events):
                broken.append(name)
                record.add(f"ORDER: {name} after event {events[-1]} gets {more}")
        ends[end] += 1

    async def trouble():
        await asyncio.sleep(KILL_AT_S)
        record.add(f"SIGKILL to {nodes[0].name}")
        nodes[0].signal(signal.SIGKILL)
        nodes[0].process.wait()
        await asyncio.sleep(DOWN_S)
        nodes[0].start()
        record.add(f"{nodes[0].name} started again")

    tasks = [asyncio.create_task(trouble())] if has_trouble else []
    started = time.monotonic()
    number = 0
    while time.monotonic() - started < LENGTH_S:
        number += 1
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    record.add(f"sent {number}, ends {dict(ends)}, broken {len(broken)}")
    return bool(broken)


run_case(main, Path(__file__).resolve().parent)
