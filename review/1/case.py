"""A worker runs a non-idempotent request and its answer is lost."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (
    Node,
    Store,
    Worker,
    config,
    pick_loopback,
    read_body,
    read_head,
    request_bytes,
    reset,
    route,
    run_case,
)

METHODS = ("POST", "PUT", "GET", "DELETE")
LENGTH_S = 8.0
REQUESTS_PER_S = 60
# answer_lost: at most 0.6 of the workers, 0.4 of the requests that they ran, for 4 s.
LOST_FROM_S, LOST_FOR_S, LOST_WORKERS, LOST_SHARE = 2.0, 4.0, 0.6, 0.4


async def main(record, has_trouble, folder, nodes):
    net = pick_loopback()
    store = Store(f"{net}.0.1")
    await store.start()
    runs = Counter()
    ran = {}
    lossy = set()
    count = Counter()

    async def run(worker, request, writer):
        runs[request["id"]] += 1
        record.add(f"runs {request['id']} {request['method']} at {worker.name}")
        await asyncio.sleep(0.0225)
        if worker.name in lossy:
            # Loses the answers of an exact share of the requests that it ran.
            count[worker.name] += 1
            n = count[worker.name]
            if int(n * LOST_SHARE) != int((n - 1) * LOST_SHARE):
                record.add(f"answer lost {request['id']} at {worker.name}")
                reset(writer)
                return
        body = b"done " + request["id"].encode()
        head = worker.head(request, extra=f"Content-Length: {len(body)}\r\n\r\n")
        writer.write(head.encode() + body)

    workers = [
        Worker(f"i-duka-{n}", "duka-app", f"{net}.1.{n}", run) for n in (1, 2, 3)
    ]
    for worker in workers:
        await worker.start()
        store.put(f"servers/{worker.name}", worker.entry())
    routes = [
        route(
            "pay-post",
            "/pay/",
            "non_idempotent",
            "duka-app",
            MaxAttempts=1,
            TimeoutMs=1500,
            TargetLatencyMs=125,
        )
    ]
    services = [{"Name": "duka-app", "MaxConnections": 214}]
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

    async def send(number):
        node = nodes[number % len(nodes)]
        method = METHODS[number % len(METHODS)]
        attempt = f"{number:016x}"
        body = b"amount=100" if method in ("POST", "PUT") else b""
        record.add(f"sent {attempt} {method} to {node.name}")
        try:
            reader, writer = await asyncio.open_connection(node.ip, node.front)
            writer.write(request_bytes(method, "/pay/2f", attempt, 1509, body))
            line, headers = await asyncio.wait_for(read_head(reader), 3)
            await read_body(reader, headers)
            ran[attempt] = line.split(" ")[1]
            writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            ran[attempt] = type(error).__name__
        record.add(f"answered {attempt} {ran[attempt]}")

    started = time.monotonic()
    tasks = []
    number = 0
    while (at := time.monotonic() - started) < LENGTH_S:
        if has_trouble and LOST_FROM_S <= at < LOST_FROM_S + LOST_FOR_S:
            lossy.update(w.name for w in workers[: int(LOST_WORKERS * len(workers))])
        else:
            lossy.clear()
        number += 1
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    twice = sorted(name for name, times in runs.items() if times > 1)
    promised = [n for n in runs if ran.get(n) in ("429", "503", "408", "421")]
    for name in twice:
        record.add(f"TWICE: {name} {METHODS[int(name, 16) % 4]} ran {runs[name]} times")
    for name in promised:
        record.add(f"REFUSED: {name} has run and was answered {ran[name]}")
    record.add(f"sent {number}, run {len(runs)}, run more than once {len(twice)}")
    record.add(f"answers {dict(Counter(ran.values()))}")
    return bool(twice)


run_case(main, Path(__file__).resolve().parent)
