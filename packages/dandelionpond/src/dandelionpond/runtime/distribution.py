"""Fetch published settings from the platform or peers and serve them to peers."""

import asyncio
from collections.abc import Callable

from dandelionpond.adapters.platform import Folder, PlatformClient, Value, read_folder
from dandelionpond.config.distribution import Distribution
from dandelionpond.config.messages import (
    Announce,
    DistributionAction,
    DistributionEvent,
    FetchFromPeer,
    FolderReadCompleted,
    Offer,
    OfferDecided,
    OfferOutcome,
    Peer,
    PeerFetchCompleted,
    PeerFetchFailed,
    PlatformCallFailed,
    ReadFolder,
    Tick,
    WatchAnswered,
    WatchPlatform,
)
from dandelionpond.config.schema import Settings
from dandelionpond.config.state import (
    Accepted,
    FileContent,
    FolderDelta,
    ManifestEntry,
    Refused,
    SettingsState,
    content_hash,
)
from dandelionpond.peer.client import PeerClient
from dandelionpond.peer.messages import FetchedFile, FetchReply, FetchRequest
from dandelionpond.peer.translate import deflate, inflate
from dandelionpond.runtime.core import Core

TICK_S = 0.25
# Bound of fetched folders that wait for their `Offer` action, at most one per call.
MAX_PENDING_FOLDERS = 8


class DistributionRunner:
    """The component that performs the actions of `Distribution`.

    `address_of` returns the peer address of a node by its name; `announce` announces a
    new revision to peers.
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
        self._pending_folders: dict[int, tuple[int, dict[str, bytes]]] = {}
        self.state_machine = Distribution(
            local.name,
            local.failure_domain,
            seeds,
            core.settings.distribution,
            core.random,
            core.now(),
        )
        core.settings_listeners.append(self._configure)

    def start(self) -> None:
        """Start the periodic task."""
        self._core.tasks.every(lambda: TICK_S, self._tick, "distribution")

    def handle(self, event: DistributionEvent) -> None:
        """Handle an event and perform the resulting actions."""
        for action in self.state_machine.handle(event, self._core.now()):
            self._perform(action)

    def _configure(self, settings: Settings) -> None:
        self.state_machine.configure(settings.distribution)

    async def _tick(self) -> None:
        self.handle(Tick())

    def _perform(self, action: DistributionAction) -> None:
        spawn = self._core.tasks.spawn
        match action:
            case ReadFolder(call):
                spawn(self._read_folder(call), "read-folder")
            case WatchPlatform(call, from_revision, wait_s):
                spawn(
                    self._watch_platform(call, from_revision, wait_s), "watch-platform"
                )
            case FetchFromPeer(call, peer):
                spawn(self._fetch_from_peer(call, peer), "fetch-from-peer")
            case Offer(call, _):
                # Deferred, because it calls `handle`, which must not be re-entered.
                asyncio.get_running_loop().call_soon(self._offer_folder, call)
            case Announce(revision, digest):
                self._announce(revision, digest)

    async def _read_folder(self, call: int) -> None:
        prefix = self._core.local.settings_prefix
        state = self._core.settings_state
        known = Folder(
            state.revision,
            {
                name: Value(content, state.revision)
                for name, content in state.files().items()
            },
        )
        result = await read_folder(self._platform, prefix, known)
        if result.is_error():
            self.handle(PlatformCallFailed(call))
            return
        folder: Folder = result.ok
        self._store_folder(call, folder.revision, folder.files)
        self.handle(FolderReadCompleted(call, folder.revision))

    async def _watch_platform(
        self, call: int, from_revision: int, wait_s: float
    ) -> None:
        prefix = self._core.local.settings_prefix
        result = await self._platform.watch(prefix, from_revision, wait_s)
        if result.is_error():
            self.handle(PlatformCallFailed(call))
        else:
            self.handle(WatchAnswered(call, result.ok.revision))

    async def _fetch_from_peer(self, call: int, peer: str) -> None:
        address = self._address_of(peer)
        if address is None:
            self.handle(PeerFetchFailed(call))
            return
        reply = await self._request_changes(address)
        files = self._assemble_files(reply) if reply is not None else None
        if reply is None or files is None:
            self.handle(PeerFetchFailed(call))
            return
        self._store_folder(call, reply.revision, files)
        self.handle(PeerFetchCompleted(call, reply.revision))

    async def _request_changes(self, address: str) -> FetchReply | None:
        """Request the changes since the current folder, or else all missing files.

        All are requested if this node has no folder or the peer does not know it.
        """
        identity, settings_state = self._core.identity, self._core.settings_state
        base = settings_state.folder_hash
        if base:
            self.counters["delta_requests"] += 1
            request = FetchRequest(identity, base_folder_hash=base)
            result = await self._peers.fetch_settings(address, request)
            if result.is_error():
                return None
            if not result.ok.is_base_unknown:
                return result.ok
        self.counters["full_requests"] += 1
        request = FetchRequest(identity, settings_state.held_hashes())
        result = await self._peers.fetch_settings(address, request)
        return result.ok if result.is_ok() else None

    def _assemble_files(self, reply: FetchReply) -> dict[str, bytes] | None:
        """Return the folder that a reply describes.

        Returns None if a file is missing or does not match its hash.
        """
        if reply.base_folder_hash:
            try:
                changed = tuple(self._decode_content(file) for file in reply.files)
            except ValueError:
                self.counters["damaged"] += 1
                return None
            delta = FolderDelta(
                reply.base_folder_hash, reply.folder_hash, changed, reply.removed
            )
            applied = self._core.settings_state.apply_delta(delta)
            return applied.ok if applied.is_ok() else None
        manifest = [ManifestEntry(file.name, file.hash, 0) for file in reply.files]
        received = [
            FileContent(file.name, file.hash, file.content)
            for file in reply.files
            if file.content is not None
        ]
        result = self._core.settings_state.assemble_folder(manifest, received)
        return result.ok if result.is_ok() else None

    def _decode_content(self, file: FetchedFile) -> FileContent:
        """Return a changed file, inflated if it was sent as a difference.

        Raises ValueError if it cannot be inflated.
        """
        content = file.content or b""
        if file.dictionary:
            dictionary = self._core.settings_state.content_of_hash(file.dictionary)
            if dictionary is None:
                raise ValueError(f"{file.name}: the dictionary is not available")
            content = inflate(content, dictionary)
        return FileContent(file.name, file.hash, content)

    def _store_folder(self, call: int, revision: int, files: dict[str, bytes]) -> None:
        self._pending_folders[call] = (revision, files)
        while len(self._pending_folders) > MAX_PENDING_FOLDERS:
            del self._pending_folders[next(iter(self._pending_folders))]

    def _offer_folder(self, call: int) -> None:
        pending = self._pending_folders.pop(call, None)
        if pending is None:
            self.handle(OfferDecided(0, OfferOutcome.STALE))
            return
        revision, files = pending
        result = self._core.offer_settings(revision, files)
        match result:
            case Accepted():
                outcome = OfferOutcome.ACCEPTED
            case Refused():
                outcome = OfferOutcome.REFUSED
            case _:
                outcome = OfferOutcome.STALE
        self.handle(OfferDecided(revision, outcome, self._core.settings_digest))


def _encode_changed_file(file: FileContent) -> FetchedFile:
    """Return a file for a reply, compressed against its previous content if known."""
    if not file.previous_content:
        return FetchedFile(file.name, file.hash, file.content)
    content = deflate(file.content, file.previous_content)
    return FetchedFile(
        file.name, file.hash, content, content_hash(file.previous_content)
    )


def build_fetch_reply(
    settings_state: SettingsState, request: FetchRequest
) -> FetchReply:
    """Return the files that a peer needs to have the current folder.

    A peer that sends the hash of its folder gets only the changes since then, without
    the hashes of unchanged files. If that folder is not among the recent ones, the
    reply says so and the peer requests again with the hashes of its files.
    """
    if request.base_folder_hash:
        delta = settings_state.delta_since(request.base_folder_hash)
        if delta is None or not settings_state.revision:
            return FetchReply(settings_state.revision, is_base_unknown=True)
        changed = tuple(_encode_changed_file(file) for file in delta.changed)
        return FetchReply(
            settings_state.revision,
            changed,
            delta.base_folder_hash,
            delta.folder_hash,
            delta.removed,
        )
    missing = {
        file.hash: file for file in settings_state.missing_files(request.held_hashes)
    }
    files = []
    for entry in settings_state.manifest():
        file = missing.get(entry.hash)
        content = file.content if file else None
        files.append(FetchedFile(entry.name, entry.hash, content))
    return FetchReply(settings_state.revision, tuple(files))
