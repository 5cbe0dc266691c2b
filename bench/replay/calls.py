"""Calls of a trace with their shapes and blocks, computed once for all policies."""

from dataclasses import dataclass
from typing import Any

from arbutustally.prefixes import PromptShape, split_levels
from arbutustally_standins.tokens import PIECE_BLOCKS, block_chain, count_tokens, prompt_text
from bench.workloads import messages


@dataclass(frozen=True)
class Call:
    """One completion of a trace.

    :ivar blocks: the engine's block chain, salted by account.
    :ivar within_rate: one exact bucket for the whole fleet would admit it.
    :ivar inside: the account is inside its rate at that time.
    """

    number: int
    at: float
    account: str
    route: str
    shape: PromptShape
    blocks: tuple[bytes, ...]
    prompt_tokens: int
    output_tokens: int
    within_rate: bool

    @property
    def tokens(self) -> int:
        """Returns the tokens charged to the account."""
        return self.prompt_tokens + self.output_tokens

    @property
    def whole_piece_blocks(self) -> int:
        """Returns the blocks of the whole pieces that the KV store keeps."""
        return len(self.blocks) // PIECE_BLOCKS * PIECE_BLOCKS


@dataclass
class Result:
    """What became of a call.

    :ivar refused: code of the refusal, empty if it ran.
    :ivar cached: prompt tokens found in the engine's cache.
    :ivar imported: prompt tokens imported from the KV store.
    """

    call: Call
    refused: str = ""
    engine: int = -1
    cached: int = 0
    imported: int = 0
    first_token_s: float | None = None
    placed_s: float = 0.0

    @property
    def computed(self) -> int:
        """Returns the prompt tokens that an engine computed."""
        return self.call.prompt_tokens - self.cached - self.imported


def load(trace: list[dict[str, Any]]) -> list[Call]:
    """Returns the completions of a trace."""
    calls = []
    model = trace[0]["deployment"]["model"]
    for event in trace:
        if event["kind"] != "completion":
            continue
        shown = messages(event)
        text = prompt_text({"messages": shown})
        calls.append(
            Call(
                len(calls),
                event["at"],
                event["account"],
                event["route"],
                split_levels(shown),
                block_chain(text, event["account"], model, "1"),
                count_tokens(text),
                event["max_tokens"],
                event["within_rate"],
            )
        )
    return calls


def offline_cached(calls: list[Call], ran: set[int]) -> dict[int, int]:
    """Returns for each call that ran the tokens that one unbounded shared cache would hold.

    No router can find more: it knows every prompt, never evicts, and has finished each prefill at
    the arrival of the next call.
    """
    seen: set[bytes] = set()
    cached = {}
    for call in calls:
        if call.number not in ran:
            continue
        matched = 0
        while matched < len(call.blocks) and call.blocks[matched] in seen:
            matched += 1
        cached[call.number] = min(matched * 16, call.prompt_tokens - 1)
        seen.update(call.blocks)
    return cached
