"""A machine is cut off from the store; a worker leaves soon after the cut."""

import asyncio
import sys
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

# core_cut, how refuse: one machine is cut off from the store for 5.5 s, five times.
NODES = 1
CUT_S = 5.5
CYCLES = 5
# Time from the end of a cut to the removal of the entry of a worker that leaves.
LEAVE_AFTER_S = 0.3
DRAIN_S = 2.0
STABLE_S = 3.0
# How long a worker that has left goes on serving: DrainMs and a little longer.
SERVES_ON_S = 5.0
REQUESTS_PER_S = 40


class StorePath:
    """The path from a machine to the store. During a cut it refuses channels."""

    def __init__(self, ip, store):
        self.ip, self._store = ip, store
        self.is_cut = False
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.address = f"{self.ip}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        if self.is_cut:
            reset(writer)
            return
        host, port = self._store.address.split(":")
        store_reader, store_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            self._pass(reader, store_writer), self._pass(store_reader, writer)
        )

    async def _pass(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if self.is_cut:
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


async def main(record, has_trouble, folder, nodes):
    net = pick_loopback()
    store = Store(f"{net}.0.1")
    await store.start()
    path = StorePath(f"{net}.0.2", store)
    await path.start()
    gone_at = {}
    in_touch_from = 0.0
    broken = []

    async def run(worker, request, writer):
        now = record.now()
        left = gone_at.get(worker.name)
        if left is not None:
            late_s = now - left
            text = f"{request['id']} reaches {worker.name} {late_s:.2f} s after it left"
            record.add(text)
            if now - left > DRAIN_S and now > in_touch_from:
                broken.append(request["id"])
                record.add(
                    f"DRAIN: {text}, {now - in_touch_from:.2f} s after the machine is "
                    "in touch"
                )
        await asyncio.sleep(0.0225)
        body = b"done"
        head = worker.head(request, extra=f"Content-Length: {len(body)}\r\n\r\n")
        writer.write(head.encode() + body)

    async def add_worker(number):
        worker = Worker(f"i-duka-{number}", "duka-app", f"{net}.1.{number}", run)
        await worker.start()
        store.put(f"servers/{worker.name}", worker.entry())
        return worker

    workers = [await add_worker(number) for number in (1, 2, 3)]
    routes = [
        route("pay-post", "/pay/", "non_idempotent", "duka-app", MaxAttempts=1),
    ]
    services = [{"Name": "duka-app", "MaxConnections": 214}]
    store.put("op/config", config(7, routes, services))
    ips = [f"{net}.2.{n}" for n in range(1, NODES + 1)]
    seeds = []
    for n, ip in enumerate(ips, 1):
        node = Node(f"front-dar-a-{n}", ip, folder, path, seeds or [f"{ip}:1"])
        seeds.append(f"{ip}:{node.control}")
        nodes.append(node)
        node.start()
    for node in nodes:
        await node.wait_ready()
    ends = Counter()
    sent = 0

    async def send(number):
        attempt = f"{number:016x}"
        node = nodes[number % NODES]
        writer = None
        try:
            reader, writer = await asyncio.open_connection(node.ip, node.front)
            writer.write(request_bytes("POST", "/pay/2f", attempt, 1509, b"amount=1"))
            line, headers = await asyncio.wait_for(read_head(reader), 3)
            await read_body(reader, headers)
            end = line.split(" ")[1]
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            end = type(error).__name__
        finally:
            if writer is not None:
                writer.close()
        ends[end] += 1

    async def traffic():
        nonlocal sent
        while True:
            sent += 1
            task = asyncio.create_task(send(sent))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S)

    tasks = set()
    source = asyncio.create_task(traffic())
    for cycle in range(CYCLES):
        await asyncio.sleep(4)
        if has_trouble:
            path.is_cut = True
            record.add(f"{nodes[0].name} is cut off from the store")
        await asyncio.sleep(CUT_S)
        path.is_cut = False
        in_touch_from = record.now() + STABLE_S
        record.add(f"the path to the store is back; in touch from {in_touch_from:.3f}")
        await asyncio.sleep(LEAVE_AFTER_S)
        leaving = workers[cycle % 3]
        store.remove(f"servers/{leaving.name}")
        gone_at[leaving.name] = record.now()
        record.add(f"the store has removed {leaving.name}")
        workers[cycle % 3] = await add_worker(4 + cycle)
        await asyncio.sleep(SERVES_ON_S)
        leaving.stop()
        record.add(f"{leaving.name} has ended")
    source.cancel()
    await asyncio.gather(*tasks)
    record.add(f"sent {sent}, ends {dict(ends)}, late at a worker {len(broken)}")
    return bool(broken)


run_case(main, Path(__file__).resolve().parent)
