"""Stand-ins of the platform's store, workers and clients, and a launcher of nodes.

They speak what the users' protocol page says, on loopback addresses and the real clock.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "k-review-0001"
TENANT = "shop"
ENGINE = {
    "Slots": 8,
    "KvCacheTokens": 315000,
    "Stride": 51,
    "step_ms": 0.85,
    "read_per_s": 177000.0,
    "per_seq_ms": 0.00425,
    "context_per_k": 0.00285,
    "pairs_per_m": 0.184,
}


def pick_loopback():
    """Return the first two parts of a loopback network with no listener on it."""
    return f"127.{random.randint(20, 250)}"


def free_port(ip):
    """Return a port that is free at an address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Record:
    """The record of a case: what was sent, answered and run, with times."""

    def __init__(self, path):
        self._file = Path(path).open("w")  # noqa: SIM115
        self._started = time.monotonic()

    def now(self):
        return time.monotonic() - self._started

    def add(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


async def read_head(reader):
    """Return the start line and the headers (lower-case names) of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, to_end=False):
    """Return the body of a message; with `to_end`, one without length ends at EOF."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


class Store:
    """The platform's store: kv-key, kv-range and kv-watch."""

    def __init__(self, ip):
        self.ip = ip
        self.revision = 10
        self.items = {}
        self._changed = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    def put(self, key, value):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {
            "Key": key,
            "Value": base64.b64encode(json.dumps(value).encode()).decode(),
            "Revision": self.revision,
            "CreateRevision": old["CreateRevision"] if old else self.revision,
            "Lease": 0,
        }
        self._changed.set()
        self._changed = asyncio.Event()

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                await read_body(reader, headers)
                status, body = await self._answer(line.split(" ")[1])
                data = json.dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        from urllib.parse import parse_qs, urlsplit

        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        call = url.path.rpartition("/")[2]
        if call == "kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {}
            return 200, {**item, "StoreRevision": self.revision}
        if call == "kv-range":
            items = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(query["Prefix"]) and key > query.get("After", "")
            ]
            return 200, {
                "Items": items[:500],
                "HasMore": len(items) > 500,
                "StoreRevision": self.revision,
            }
        if call == "kv-watch":
            end = time.monotonic() + int(query["WaitMs"]) / 1000
            while True:
                changed = self._changed
                events = [
                    item
                    for item in self.items.values()
                    if item["Key"].startswith(query["Prefix"])
                    and item["Revision"] > int(query["After"])
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "StoreRevision": self.revision}
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except TimeoutError:
                    pass
        return 404, {}


class Worker:
    """A worker; a case overrides `run`, which runs one accepted request.

    `run` gets the worker's name, the request and the writer, and answers itself.
    """

    def __init__(self, name, service, ip, run, zone="dar-a", slots=6):
        self.name, self.service, self.ip = name, service, ip
        self.zone, self.slots = zone, slots
        self._run = run
        self.orders = self._no_orders
        self.sequence = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"
        self.born = int(time.time() * 1000)

    def stop(self):
        """Stop accepting connections."""
        self._server.close()

    def entry(self, state="ready"):
        self.sequence += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": 1,
            "Slots": self.slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }

    @staticmethod
    async def _no_orders(body):
        return 400, {}

    async def _serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                request = {
                    "method": method,
                    "target": target,
                    "headers": headers,
                    "body": body,
                    "id": headers.get("dandelionpond-attempt-id", ""),
                }
                if target == "/dandelionpond/order":
                    answer = await self.orders(json.loads(body))
                    if answer is None:
                        await asyncio.sleep(30)
                        return
                    status, out = answer
                    data = json.dumps(out).encode()
                    writer.write(
                        f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(data)}\r\n\r\n".encode()
                        + data
                    )
                elif headers.get("dandelionpond-expect-instance") != self.name:
                    writer.write(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
                else:
                    await self._run(self, request, writer)
                if writer.is_closing():
                    return
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def head(self, request, status=200, extra=""):
        return (
            f"HTTP/1.1 {status} X\r\n"
            f"Dandelionpond-Attempt-Id: {request['id']}\r\n"
            f"Dandelionpond-Server-Stamp: stamp.{self.name}.{request['id']}\r\n{extra}"
        )


def config(version, routes, services):
    """Return the operator's configuration."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 15000,
            "IdleTimeoutMs": 75000,
        },
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
    }


def route(name, prefix, kind, service, **fields):
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 10000,
        "TargetLatencyMs": 300,
        "Priority": 1,
        "MaxAttempts": 2,
        "Public": False,
        **({"Service": service} if service else {}),
        **fields,
    }


class Node:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, name, ip, folder, store, seeds, zone="dar-a", **bounds):
        self.name, self.ip, self.folder = name, ip, Path(folder)
        self.front, self.ready, self.control = (free_port(ip) for _ in range(3))
        self.log = (self.folder / f"{name}.log").open("w")
        values = {
            "GraceS": 8,
            "DrainMs": 2000,
            "ConfigApplyMs": 2000,
            "RetryBudgetRatio": 0.2,
            "BudgetWindowS": 10,
            "BudgetSlack": 219,
            "StableWindowMs": 3000,
            "FreeMs": 4000,
            **bounds,
        }
        lines = [
            f"Node={name}",
            "Role=node",
            "MachineClass=front",
            "Serves=front,control",
            f"Ip={ip}",
            f"Zone={zone}",
            "Region=dar",
            f"Listen.Front={ip}:{self.front}",
            f"Listen.Ready={ip}:{self.ready}",
            f"Listen.Control={ip}:{self.control}",
            "InternalPorts=7340,7355",
            f"Seeds={','.join(seeds)}",
            "Bootstrap=true",
            "Limits.CpuShare=0.731",
            "Limits.Cores=1",
            "Limits.MemoryMb=222",
            "Limits.MaxFds=1570",
            "Limits.LinkMbps=350.0",
            f"Platform.Address={store.address}",
            "Platform.ReadsPerS=2000",
            "Platform.HistoryS=20",
            *(f"Bounds.{key}={value}" for key, value in values.items()),
        ]
        self.settings = self.folder / f"{name}.conf"
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self):
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["DANDELIONPOND_CONFIG"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = subprocess.Popen(
            ["python3", "target/app/run.py", "node"],
            cwd=ROOT,
            env=env,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    async def wait_ready(self, limit_s=20.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} did not become ready")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
        except OSError:
            return False
        try:
            writer.write(b"GET /dandelionpond/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line, _ = await asyncio.wait_for(read_head(reader), 1)
            return line.split(" ")[1] == "200"
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if getattr(self, "process", None) is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        self.log.close()


class CannotRun(Exception):
    """The case could not be run."""


def request_bytes(method, target, attempt, deadline_ms, body=b"", **headers):
    """Return a request as a client of the users sends it."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Dandelionpond-Attempt-Id: {attempt}",
        f"Dandelionpond-Deadline-Ms: {deadline_ms}",
        f"Dandelionpond-Key: {KEY}",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def run_case(main, folder):
    """Run a case; `main` returns whether the rule was broken."""
    import shutil
    import tempfile

    # Ends the processes also if the case itself is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"TROUBLE={int(has_trouble)}")
    temporary = tempfile.mkdtemp(prefix="review-")
    nodes = []
    code = 2
    try:
        broken = asyncio.run(main(record, has_trouble, temporary, nodes))
        code = 1 if broken else 0
    except CannotRun as error:
        record.add(f"cannot run: {error}")
    except Exception as error:
        record.add(f"cannot run: {type(error).__name__}: {error}")
    finally:
        for node in nodes:
            node.end()
        shutil.rmtree(temporary, ignore_errors=True)
    record.add(f"exit code {code}")
    print(f"exit code {code}")
    sys.exit(code)
