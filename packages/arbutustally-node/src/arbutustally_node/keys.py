"""Service ``keys``: caller keys, checked on every request."""

import hashlib
import hmac
import re
import secrets
from dataclasses import dataclass
from typing import Any

from arbutustally.clock import Clock, monotonic
from arbutustally.errors import (
    BadRequestError,
    KeyInvalidError,
    KeysStaleError,
    NoConfigurationError,
)
from arbutustally.metrics import Counter, declare
from arbutustally.records import KeyIssue, KeyWithdraw
from arbutustally.verdicts import Reason
from arbutustally_node.kernel import Kernel
from arbutustally_node.log_writer import Appended
from arbutustally_node.options import Options

KEY_INVALID = declare(
    "refused.key_invalid", "Key missing, unknown or withdrawn; issue one, or correct the caller."
)
KEYS_STALE = declare(
    "refused.keys_stale", "Withdrawals may be missing; look at the log and at the peer links."
)

_ID_BYTES = 8
_SECRET_BYTES = 32
_KEY_TEXT = re.compile(r"at-([0-9a-z]{8,32})-([0-9A-Za-z_\-]{16,128})\Z")
#: Compared with when the id is unknown, so that timing does not reveal whether an id exists.
_NO_DIGEST = "0" * 64
_RETRY_AFTER_S = 2.0
_INVALID = "the key is missing, unknown or withdrawn; send Authorization: Bearer <key>"


@dataclass(frozen=True)
class IssuedKey:
    """A new key; its text is stored nowhere.

    :ivar text: key as the caller sends it.
    :ivar offset: offset of its record.
    """

    key_id: str
    text: str
    account: str
    offset: int


def digest_of(secret: str) -> str:
    """Returns the digest of the secret part that is kept in the log."""
    return hashlib.sha256(secret.encode()).hexdigest()


class Keys:
    """Authenticates callers; issues and withdraws keys.

    A request on an open connection is authenticated like the first one, so a withdrawal needs no
    connection to be closed.
    """

    def __init__(self, kernel: Kernel, options: Options, clock: Clock = monotonic) -> None:
        self._kernel = kernel
        self._options = options
        self._clock = clock

    @classmethod
    def from_config(cls, kernel: Kernel, options: Options) -> "Keys":
        """Builds the service."""
        return cls(kernel, options)

    def start(self) -> None:
        """Nothing runs in the background."""

    def stop(self) -> None:
        """Nothing runs in the background."""

    def authenticate(self, authorization: str | None) -> str:
        """Returns the account of a request.

        :param authorization: value of the ``Authorization`` header.
        :raises KeyInvalidError: if the key is missing, unknown or withdrawn.
        :raises KeysStaleError: if a withdrawal may have been missed.
        :raises NoConfigurationError: if this node has no configuration yet.
        """
        try:
            return self._account_of(authorization)
        except KeyInvalidError:
            self._count(KEY_INVALID)
            raise
        except KeysStaleError:
            self._count(KEYS_STALE)
            raise

    def _account_of(self, authorization: str | None) -> str:
        log = self._kernel.lookup("log")
        if not log.ready:
            raise NoConfigurationError(
                "this node has no configuration yet; try another node",
                retry_after_s=_RETRY_AFTER_S,
            )
        self._check_fresh(log)
        scheme, _, text = (authorization or "").partition(" ")
        match = _KEY_TEXT.match(text.strip())
        if scheme.lower() != "bearer" or match is None:
            raise KeyInvalidError(_INVALID)
        entry = log.state.key(match[1])
        known = entry.digest if entry is not None and not entry.withdrawn else _NO_DIGEST
        is_equal = hmac.compare_digest(digest_of(match[2]), known)
        if not is_equal or entry is None or entry.withdrawn:
            raise KeyInvalidError(_INVALID)
        if entry.account not in log.state.declarations.accounts:
            raise KeyInvalidError("the account of this key is not declared any more")
        return entry.account

    def issue(self, account: str) -> IssuedKey:
        """Issues a key.

        :raises BadRequestError: if the account is not declared.
        :raises LogUnavailableError: if the log did not confirm it.
        """
        key_id = secrets.token_hex(_ID_BYTES)
        secret = secrets.token_urlsafe(_SECRET_BYTES)
        log = self._kernel.lookup("log")
        appended = log.append(KeyIssue(key_id, digest_of(secret), account))
        if not appended.verdict.accepted:
            raise BadRequestError(
                f"no key was issued for account {account!r} ({appended.verdict.reason}); declare "
                "the account with apply, then issue again"
            )
        return IssuedKey(key_id, f"at-{key_id}-{secret}", account, appended.offset)

    def withdraw(self, key_id: str) -> Appended:
        """Withdraws a key for good; withdrawing it again changes nothing.

        :raises BadRequestError: if this is no key id.
        :raises LogUnavailableError: if the log did not confirm it.
        """
        appended = self._kernel.lookup("log").append(KeyWithdraw(key_id))
        if appended.verdict.reason not in (Reason.ACCEPTED, Reason.KEY_WITHDRAWN):
            raise BadRequestError(f"{key_id!r} is no key id; use the part between the hyphens")
        return appended

    def _check_fresh(self, log: Any) -> None:
        """Checks that no withdrawal that this node has missed may be in force on other nodes.

        A node without contact to the log cannot tell an outage for all nodes from a partition that
        cuts off only its own side, unless it reaches a majority of the nodes.

        :raises KeysStaleError: if a withdrawal may have been missed.
        """
        if log.staleness(self._clock()) <= self._options.key_staleness_s:
            return
        if log.known_offset > log.state.offset:
            raise _stale("a peer holds records of the log that this node cannot fetch")
        if not self._reaches_majority():
            raise _stale("this node reaches neither the log nor more than half of the nodes")

    def _reaches_majority(self) -> bool:
        nodes = {self._options.node_id}
        reached = {self._options.node_id}
        membership = self._service("membership")
        if membership is not None:
            nodes.update(node.id for node in membership.nodes())
        peers = self._service("peers")
        if peers is not None:
            reached.update(peers.connected())
        return 2 * len(reached & nodes) > len(nodes)

    def _count(self, counter: Counter) -> None:
        metrics = self._service("metrics")
        if metrics is not None:
            metrics.count(counter)

    def _service(self, name: str) -> Any:
        try:
            return self._kernel.lookup(name)
        except LookupError:
            return None


def _stale(what: str) -> KeysStaleError:
    return KeysStaleError(f"{what}; try another node", retry_after_s=_RETRY_AFTER_S)
