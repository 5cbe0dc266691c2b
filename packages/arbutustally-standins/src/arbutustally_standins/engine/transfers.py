"""Export of cached pieces to the KV store and import from it."""

from collections.abc import Sequence

import gevent

from arbutustally_standins.engine.options import EngineOptions
from arbutustally_standins.engine.runner import Runner, Stream
from arbutustally_standins.engine.stores import PlatformClient, PlatformError
from arbutustally_standins.tokens import BLOCK_TOKENS, PIECE_BLOCKS


class Transfers:
    """Moves pieces between the engine's cache and the KV store."""

    def __init__(self, options: EngineOptions, runner: Runner, platform: PlatformClient) -> None:
        self._options = options
        self._runner = runner
        self._platform = platform

    def import_missing(self, blocks: Sequence[bytes]) -> int:
        """Fetches pieces that follow the cached part of a chain; a failed store fetches none.

        :returns: leading blocks that are now cached or fetched.
        """
        if not self._platform.has_kv:
            return 0
        cached = self._runner.model.cache.match(blocks) // PIECE_BLOCKS
        try:
            fetched = self._platform.fetch_pieces(blocks[cached * PIECE_BLOCKS :])
        except PlatformError:
            self._runner.counts["imports_failed"] += 1
            return 0
        self._runner.counts["pieces_imported"] += fetched
        return (cached + fetched) * PIECE_BLOCKS

    def import_prompt(self, blocks: Sequence[bytes]) -> int | None:
        """Imports the pieces of a prompt ahead of a request.

        :returns: the number of leading pieces now cached, ``None`` if the store failed.
        """
        before = self._runner.counts["imports_failed"]
        held = self.import_missing(blocks)
        if self._runner.counts["imports_failed"] > before:
            return None
        self._runner.model.store(tuple(blocks[:held]))
        return held // PIECE_BLOCKS

    def export_prompt(self, blocks: Sequence[bytes]) -> int | None:
        """Exports the cached pieces of a prompt.

        :returns: their number, ``None`` if the store failed.
        """
        cached = self._runner.model.lookup(tuple(blocks)) // BLOCK_TOKENS
        try:
            pieces = self._platform.put_pieces(blocks[:cached])
        except PlatformError:
            self._runner.counts["exports_failed"] += 1
            return None
        self._runner.counts["pieces_exported"] += pieces
        return pieces

    def export_after(self, stream: Stream) -> None:
        """Exports a prompt once its prefill is done, where the options say so."""
        if self._options.kv_export and self._platform.has_kv:
            gevent.spawn(self._export_when_started, stream)

    def _export_when_started(self, stream: Stream) -> None:
        for _ in stream.tokens(stream.plan.first_index):
            self.export_prompt(stream.ticket.request.blocks)
            return
