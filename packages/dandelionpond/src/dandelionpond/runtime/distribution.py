"""Bring published settings to this node and pass them on to peers."""

import asyncio
from collections.abc import Callable

from dandelionpond.adapters.platform import Folder, PlatformClient, Value, read_folder
from dandelionpond.config.distribution import Distribution
from dandelionpond.config.keeper import (
    Accepted,
    FileContent,
    FolderDelta,
    ManifestEntry,
    Refused,
    SettingsKeeper,
    content_hash,
)
from dandelionpond.config.messages import (
    Action,
    Announce,
    Event,
    FetchFromPeer,
    FolderRead,
    Offer,
    Offered,
    Outcome,
    Peer,
    PeerFailed,
    PeerFetched,
    PlatformFailed,
    ReadFolder,
    Tick,
    WatchAnswered,
    WatchPlatform,
)
from dandelionpond.config.schema import Settings
from dandelionpond.peer.client import PeerClient
from dandelionpond.peer.messages import FetchedFile, FetchReply, FetchRequest
from dandelionpond.peer.translate import deflate, inflate
from dandelionpond.runtime.core import Core

TICK_S = 0.25
# Folders that calls brought and that wait for their `Offer`; a call has at most one.
MAX_FOLDERS = 8


class DistributionRunner:
    """Carry out the actions of `Distribution`.

    `address_of` gives the peer address of a node by its name, `announce` tells peers
    of a new revision.
    """

    def __init__(
        self,
        core: Core,
        platform: PlatformClient,
        peers: PeerClient,
        address_of: Callable[[str], str | None],
        announce: Callable[[int, str], None],
    ) -> None:
        local = core.local
        seeds = [Peer(seed.name, seed.failure_domain) for seed in local.seeds]
        self._core = core
        self._platform = platform
        self._peers = peers
        self._address_of = address_of
        self._announce = announce
        self.counters = {"delta_requests": 0, "full_requests": 0, "damaged": 0}
        self._values: dict[str, Value] = {}
        self._folders: dict[int, tuple[int, dict[str, bytes]]] = {}
        self.distribution = Distribution(
            local.name,
            local.failure_domain,
            seeds,
            core.settings.distribution,
            core.random,
            core.now(),
        )
        core.on_settings.append(self._configure)

    def start(self) -> None:
        """Start the timer."""
        self._core.tasks.every(lambda: TICK_S, self._tick, "distribution")

    def handle(self, event: Event) -> None:
        """Report an event and carry out what follows."""
        for action in self.distribution.handle(event, self._core.now()):
            self._perform(action)

    def _configure(self, settings: Settings) -> None:
        self.distribution.configure(settings.distribution)

    async def _tick(self) -> None:
        self.handle(Tick())

    def _perform(self, action: Action) -> None:
        spawn = self._core.tasks.spawn
        match action:
            case ReadFolder(call):
                spawn(self._read(call), "read-folder")
            case WatchPlatform(call, from_revision, wait_s):
                spawn(self._watch(call, from_revision, wait_s), "watch-platform")
            case FetchFromPeer(call, peer):
                spawn(self._fetch(call, peer), "fetch-from-peer")
            case Offer(call, _):
                # Deferred, so that `handle` is not entered again from within itself.
                asyncio.get_running_loop().call_soon(self._offer, call)
            case Announce(revision, digest):
                self._announce(revision, digest)

    async def _read(self, call: int) -> None:
        prefix = self._core.local.settings_prefix
        result = await read_folder(self._platform, prefix, self._values)
        if result.is_error():
            self.handle(PlatformFailed(call))
            return
        folder: Folder = result.ok
        self._values = folder.values
        self._keep(call, folder.revision, folder.files)
        self.handle(FolderRead(call, folder.revision))

    async def _watch(self, call: int, from_revision: int, wait_s: float) -> None:
        prefix = self._core.local.settings_prefix
        result = await self._platform.watch(prefix, from_revision, wait_s)
        if result.is_error():
            self.handle(PlatformFailed(call))
        else:
            self.handle(WatchAnswered(call, result.ok.revision))

    async def _fetch(self, call: int, peer: str) -> None:
        address = self._address_of(peer)
        if address is None:
            self.handle(PeerFailed(call))
            return
        reply = await self._fetch_reply(address)
        files = self._assemble(reply) if reply is not None else None
        if reply is None or files is None:
            self.handle(PeerFailed(call))
            return
        self._keep(call, reply.revision, files)
        self.handle(PeerFetched(call, reply.revision))

    async def _fetch_reply(self, address: str) -> FetchReply | None:
        """Return the changes since the folder in force, or else the full form."""
        identity, keeper = self._core.identity, self._core.keeper
        base = keeper.folder_hash
        if base:
            self.counters["delta_requests"] += 1
            request = FetchRequest(identity, base_folder_hash=base)
            result = await self._peers.fetch_settings(address, request)
            if result.is_error():
                return None
            if not result.ok.is_base_unknown:
                return result.ok
        self.counters["full_requests"] += 1
        request = FetchRequest(identity, keeper.held_hashes())
        result = await self._peers.fetch_settings(address, request)
        return result.ok if result.is_ok() else None

    def _assemble(self, reply: FetchReply) -> dict[str, bytes] | None:
        """Return all files of a reply, or None if one lacks or has other bytes."""
        if reply.base_folder_hash:
            try:
                changed = tuple(self._content(file) for file in reply.files)
            except ValueError:
                self.counters["damaged"] += 1
                return None
            delta = FolderDelta(
                reply.base_folder_hash, reply.folder_hash, changed, reply.removed
            )
            applied = self._core.keeper.apply(delta)
            return applied.ok if applied.is_ok() else None
        manifest = [ManifestEntry(file.name, file.hash, 0) for file in reply.files]
        received = [
            FileContent(file.name, file.hash, file.content)
            for file in reply.files
            if file.content is not None
        ]
        result = self._core.keeper.assemble(manifest, received)
        return result.ok if result.is_ok() else None

    def _content(self, file: FetchedFile) -> FileContent:
        """Return a changed file; raise `ValueError` if it cannot be rebuilt."""
        content = file.content or b""
        if file.dictionary:
            former = self._core.keeper.held(file.dictionary)
            if former is None:
                raise ValueError(f"{file.name}: the dictionary is not held")
            content = inflate(content, former)
        return FileContent(file.name, file.hash, content)

    def _keep(self, call: int, revision: int, files: dict[str, bytes]) -> None:
        self._folders[call] = (revision, files)
        while len(self._folders) > MAX_FOLDERS:
            del self._folders[next(iter(self._folders))]

    def _offer(self, call: int) -> None:
        kept = self._folders.pop(call, None)
        if kept is None:
            self.handle(Offered(0, Outcome.STALE))
            return
        revision, files = kept
        verdict = self._core.offer_settings(revision, files)
        match verdict:
            case Accepted():
                outcome = Outcome.ACCEPTED
            case Refused():
                outcome = Outcome.REFUSED
            case _:
                outcome = Outcome.STALE
        self.handle(Offered(revision, outcome, self._core.settings_digest))


def _changed_file(file: FileContent) -> FetchedFile:
    """Return a file as the difference from what the peer holds, if that is known."""
    if not file.former:
        return FetchedFile(file.name, file.hash, file.content)
    content = deflate(file.content, file.former)
    return FetchedFile(file.name, file.hash, content, content_hash(file.former))


def fetch_reply(keeper: SettingsKeeper, request: FetchRequest) -> FetchReply:
    """Return what a peer needs to hold the folder in force.

    A peer that names its folder gets the changes since, without the hash of each file;
    one whose folder is not among the recent ones is asked for the hashes it holds.
    """
    if request.base_folder_hash:
        delta = keeper.changes_since(request.base_folder_hash)
        if delta is None or not keeper.revision:
            return FetchReply(keeper.revision, is_base_unknown=True)
        changed = tuple(_changed_file(file) for file in delta.changed)
        return FetchReply(
            keeper.revision, changed, delta.base, delta.folder_hash, delta.removed
        )
    missing = {file.hash: file for file in keeper.missing(request.held_hashes)}
    files = []
    for entry in keeper.manifest():
        found = missing.get(entry.hash)
        content = found.content if found else None
        files.append(FetchedFile(entry.name, entry.hash, content))
    return FetchReply(keeper.revision, tuple(files))
