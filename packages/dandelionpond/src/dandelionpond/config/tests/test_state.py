"""Test which revision takes effect and what peers fetch."""

import msgspec

from dandelionpond.config import state as state_module
from dandelionpond.config.state import Accepted, Refused, SettingsState, Stale

FIRST_FOLDER = {"10-a.json": b'{"limits": {"max_queue": 1}}', "20-b.json": b"{}"}
SECOND_FOLDER = {**FIRST_FOLDER, "20-b.json": b'{"limits": {"max_queue": 2}}'}
INVALID_FOLDER = {"10-a.json": b'{"limits": {"max_queue": "x"}}'}


class TestSettingsState:
    def test_revision_never_decreases(self):
        """An older revision from a platform replica that lags must not take effect."""
        state = SettingsState()
        assert isinstance(state.offer(5, FIRST_FOLDER, 0.0), Accepted)
        assert state.offer(4, SECOND_FOLDER, 1.0) == Stale(4, 5)
        assert state.offer(5, FIRST_FOLDER, 1.0) == Stale(5, 5)
        assert state.merged.settings.limits.max_queue == 1
        assert state.counters.stale == 2

    def test_refused_revision_keeps_the_settings(self):
        """An invalid revision must not remove the settings in effect."""
        state = SettingsState()
        state.offer(5, FIRST_FOLDER, 0.0)
        result = state.offer(6, INVALID_FOLDER, 1.0)
        assert isinstance(result, Refused)
        assert state.last_refusal.revision == 6
        assert state.last_refusal.errors == result.errors
        assert state.revision == 5
        assert state.merged.settings.limits.max_queue == 1
        assert isinstance(state.offer(7, SECOND_FOLDER, 2.0), Accepted)
        assert state.merged.settings.limits.max_queue == 2

    def test_same_revision_with_different_content_is_refused(self):
        """A revision that was offered before must be refused with other content."""
        state = SettingsState()
        state.offer(5, FIRST_FOLDER, 0.0)
        assert isinstance(state.offer(5, SECOND_FOLDER, 0.0), Refused)
        state.offer(6, INVALID_FOLDER, 0.0)
        assert isinstance(state.offer(6, SECOND_FOLDER, 0.0), Refused)
        assert state.counters.conflicts == 2
        assert state.revision == 5

    def test_total_size_is_bounded(self, monkeypatch):
        """A folder over `MAX_TOTAL_BYTES` must be refused, to bound memory use."""
        monkeypatch.setattr(state_module, "MAX_TOTAL_BYTES", 20)
        state = SettingsState()
        assert isinstance(state.offer(1, FIRST_FOLDER, 0.0), Refused)
        assert state.counters.too_large == 1

    def test_peer_fetches_only_missing_files(self):
        """A node must not transfer the whole folder for one change."""
        source, target = SettingsState(), SettingsState()
        source.offer(2, SECOND_FOLDER, 0.0)
        target.offer(1, FIRST_FOLDER, 0.0)
        received = source.missing_files(target.held_hashes())
        assert [item.name for item in received] == ["20-b.json"]
        files = target.assemble_folder(source.manifest(), received).ok
        assert files == SECOND_FOLDER
        target.offer(2, files, 0.0)
        assert target.digest == source.digest
        wrong = [state_module.FileContent("x", i.hash, b"?") for i in received]
        fresh = SettingsState()
        assert fresh.assemble_folder(source.manifest(), wrong).is_error()

    def test_delta_since_a_recent_folder(self):
        """A delta must give the same folder as the source has, or be refused."""
        final_files = {"20-b.json": SECOND_FOLDER["20-b.json"], "30-c.json": b"{}"}
        source, target = SettingsState(), SettingsState()
        target.offer(1, FIRST_FOLDER, 0.0)
        for revision, files in enumerate((FIRST_FOLDER, SECOND_FOLDER, final_files), 1):
            source.offer(revision, files, 0.0)
        delta = source.delta_since(target.folder_hash)
        assert [item.name for item in delta.changed] == ["20-b.json", "30-c.json"]
        assert delta.removed == ("10-a.json",)
        assert target.apply_delta(delta).ok == final_files
        assert source.apply_delta(delta).is_error()
        wrong = msgspec.structs.replace(delta, removed=())
        assert target.apply_delta(wrong).is_error()
        assert source.delta_since("unknown") is None
        assert source.delta_since(source.folder_hash).changed == ()

    def test_recent_changes_are_bounded(self):
        """The history of changes must not grow with each revision."""
        state = SettingsState()
        bases = []
        for revision in range(1, state_module.MAX_RECENT_CHANGES + 4):
            text = f'{{"limits": {{"max_queue": {revision}}}}}'
            state.offer(revision, {"10-a.json": text.encode()}, 0.0)
            bases.append(state.folder_hash)
        assert state.delta_since(bases[0]) is None
        assert state.delta_since(bases[2]).changed[0].content
