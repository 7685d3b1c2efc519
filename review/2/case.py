"""Workers spoil some of their answers: bytes of one event of a stream are wrong."""

import asyncio
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
    read_body,
    read_head,
    request_bytes,
    route,
    run_case,
)

EVENTS = 8
LENGTH_S = 10.0
REQUESTS_PER_S = 60
# garble: 0.35 of the workers spoil 0.02 of their answers, for 5.5 s.
SPOIL_FROM_S, SPOIL_FOR_S, SPOIL_WORKERS, SPOIL_SHARE = 2.0, 5.5, 0.35, 0.02


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def spoil(data):
    """Return an event with one wrong byte: the digit of its id."""
    return b"id: ?\n" + data.partition(b"\n")[2]


async def main(record, has_trouble, folder, nodes):
    net = pick_loopback()
    store = Store(f"{net}.0.1")
    await store.start()
    spoiling = set()
    answered = Counter()

    async def run(worker, request, writer):
        after = int(request["headers"].get("last-event-id", 0))
        record.add(f"runs {request['id']} at {worker.name} after event {after}")
        answered[worker.name] += worker.name in spoiling
        n = answered[worker.name]
        is_spoiled = worker.name in spoiling and int(n * SPOIL_SHARE) != int(
            (n - 1) * SPOIL_SHARE
        )
        extra = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(worker.head(request, extra=extra).encode())
        events = [event(k) for k in range(after + 1, EVENTS + 1)]
        if is_spoiled and len(events) > 5:
            events[5] = bad = spoil(events[5])
            record.add(f"spoiled {request['id']} at {worker.name}: {bad!r}")
        # The events of one pass leave in one write.
        for start in range(0, len(events), 2):
            data = b"".join(events[start : start + 2])
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")

    workers = [
        Worker(f"i-pond-{n}", "pond-llm", f"{net}.1.{n}", run, slots=8)
        for n in range(1, 7)
    ]
    for worker in workers:
        await worker.start()
        store.put(f"servers/{worker.name}", worker.entry())
    routes = [
        route(
            "counter-reply",
            "/chat/",
            "stream",
            "pond-llm",
            Resumable=True,
            GapAimMs=250,
        )
    ]
    services = [{"Name": "pond-llm", "MaxConnections": 909, "Engine": ENGINE}]
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

    async def send(number):
        node = nodes[number % len(nodes)]
        attempt = f"{number:016x}"
        headers = {
            "Dandelionpond_Model": "m",
            "Dandelionpond_Token_Count": "1460,408",
            "Dandelionpond_Prompt_Prefix": f"5c1e07a2:40,{number:08x}:1420",
        }
        try:
            reader, writer = await asyncio.open_connection(node.ip, node.front)
            data = request_bytes(
                "POST", "/chat/2f", attempt, 10024, b"prompt", **headers
            )
            writer.write(data)
            line, answer_headers = await asyncio.wait_for(read_head(reader), 12)
            body = await asyncio.wait_for(read_body(reader, answer_headers), 12)
            writer.close()
            end = line.split(" ")[1]
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            end, body = type(error).__name__, b""
        if end == "200":
            ids = [
                int(row[3:])
                for row in body.decode().split("\n")
                if row.startswith("id:")
            ]
            record.add(f"answered {attempt} 200, complete, events {ids}")
            if ids != list(range(1, EVENTS + 1)):
                broken.append(attempt)
                record.add(f"ORDER: {attempt} is complete, but has the events {ids}")
        else:
            record.add(f"answered {attempt} {end}")
        ends[end] += 1

    started = time.monotonic()
    tasks = []
    number = 0
    while (at := time.monotonic() - started) < LENGTH_S:
        if has_trouble and SPOIL_FROM_S <= at < SPOIL_FROM_S + SPOIL_FOR_S:
            spoiling.update(
                w.name for w in workers[: int(SPOIL_WORKERS * len(workers))]
            )
        else:
            spoiling.clear()
        number += 1
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    record.add(f"sent {number}, ends {dict(ends)}, broken {len(broken)}")
    return bool(broken)


run_case(main, Path(__file__).resolve().parent)
