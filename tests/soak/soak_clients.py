"""Send requests all the time and check what comes back."""

import asyncio
from collections import Counter

import aiohttp
from soak_upstreams import ATTEMPT_ID, STAMP, answer_of, events_of
from soak_world import KEPT_VERSIONS

KINDS = ("call", "pay", "chat")
# Deadline of a request in milliseconds and the time in seconds that a client waits.
DEADLINE_MS = 3_500
WAIT_S = 6.0
# Pause in seconds between two requests of one client.
PAUSE_S = 0.01
# Share of the clients' requests that are given up early.
GIVE_UP_SHARE = 0.04
REFUSALS = (429, 503)


class Clients:
    """Own the clients of one run; `broken` lists the promises that did not hold."""

    def __init__(self, world, random, prefix):
        self.broken = []
        self.outcomes = Counter()
        self.refused = set()
        self.paid = set()
        self._world = world
        self._random = random
        self._prefix = prefix
        self._count = 0
        self._seen = {}

    async def run(self, node, probes):
        """Send requests through one node on a connection that is kept open.

        Probes of one node must follow one another, so one of its clients sends them.
        """
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            while True:
                try:
                    if probes and self._random.random() < 0.5:
                        await self._probe(session, node)
                    else:
                        await self.once(session, node, self._random.choice(KINDS))
                except (aiohttp.ClientError, OSError, TimeoutError) as error:
                    self.outcomes[f"no answer: {type(error).__name__}"] += 1
                    await asyncio.sleep(0.1)
                await asyncio.sleep(PAUSE_S)

    async def works(self, node, kind):
        """Return whether one request, which is not given up, is answered with 200."""
        attempt = self.next_attempt()
        try:
            async with (
                aiohttp.ClientSession(auto_decompress=False) as session,
                asyncio.timeout(WAIT_S),
                self.request(session, node, f"/{kind}/x", attempt) as answer,
            ):
                body = await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        if kind == "pay":
            self.paid.add(attempt)
        if not kind.startswith("v"):
            self._check(kind, attempt, answer, body)
        return answer.status == 200

    async def once(self, session, node, kind):
        """Send one request, check its answer and return the status."""
        attempt = self.next_attempt()
        if kind == "pay":
            self.paid.add(attempt)
        wait = WAIT_S
        if self._random.random() < GIVE_UP_SHARE:
            wait = self._random.uniform(0.005, 0.2)
        async with (
            asyncio.timeout(wait),
            self.request(session, node, f"/{kind}/x", attempt) as answer,
        ):
            body = await answer.read()
            self._check(kind, attempt, answer, body)
        self.outcomes[f"{kind} {answer.status}"] += 1
        return answer.status

    def next_attempt(self):
        """Return an identifier that no other request has."""
        self._count += 1
        return f"{self._prefix}{self._count:06x}"

    def request(self, session, node, path, attempt):
        """Return a request, to be entered as a context."""
        headers = {
            "Host": "a.example",
            ATTEMPT_ID: attempt,
            "Dandelionpond-Deadline-Ms": str(DEADLINE_MS),
            "Dandelionpond-Key": "k1",
            "Dandelionpond-Token-Count": "40,16",
        }
        return session.post(node.front + path, headers=headers, data=b"body")

    def _check(self, kind, attempt, answer, body):
        if answer.status in REFUSALS:
            self.refused.add(attempt)
        elif answer.status in (401, 404):
            self._break("denied", f"{attempt}: {answer.status} from {answer.url}")
        if answer.status != 200:
            return
        if answer.headers.get(STAMP) not in self._world.runs.upstreams[attempt]:
            self._break("mixed", f"{attempt}: stamp of {answer.headers.get(STAMP)}")
        if kind == "chat":
            wanted = [
                f"id: {number}\ndata: {data}\n\n"
                for number, data in enumerate(events_of(attempt), 1)
            ]
            if body.decode() != "".join(wanted):
                self._break("stream", f"{attempt}: {body!r}")
        elif body != answer_of(attempt):
            self._break("mixed", f"{attempt}: {body!r}")

    async def _probe(self, session, node):
        """Ask for the route of one version; a node's version must never go back."""
        world, life = self._world, (node.name, node.lives)
        version = max(1, world.version - self._random.randrange(KEPT_VERSIONS + 1))
        attempt = self.next_attempt()
        async with (
            asyncio.timeout(WAIT_S),
            self.request(session, node, f"/v{version}/x", attempt) as answer,
        ):
            await answer.read()
        self.outcomes[f"probe {answer.status}"] += 1
        newest = world.version
        if life != (node.name, node.lives):
            return
        if answer.status in REFUSALS:
            self.refused.add(attempt)
        # A document holds the routes of its own and of the two versions before it.
        served, dropped = self._seen.get(life, (0, 0))
        if answer.status == 200:
            if version <= dropped:
                self._break("regress", f"{life} serves {version} again")
            served = max(served, version)
        elif answer.status == 404:
            if served >= version > newest - KEPT_VERSIONS:
                self._break("regress", f"{life} has forgotten {version}")
            if version < served:
                dropped = max(dropped, version)
        self._seen[life] = served, dropped

    def _break(self, promise, what):
        self.broken.append(f"{promise}: {what}")
