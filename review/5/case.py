"""A tenant becomes isolated by a new configuration while its cached parts lie at an engine."""

import socket
import sys
import time
import uuid
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    CaseError,
    Fleet,
    Node,
    Record,
    Request,
    Store,
    Worker,
    ask,
    configuration,
    event_stream,
    play,
    tenant,
)

#: ``configApplyMs`` of the sites, and a second more.
APPLY_S = 2.0 + 1.0
GUIDE = "5c1e07a2"


class EngineWorker(Worker):
    """An engine that keeps the parts of prompts under their ``Cache-Salt``.

    :ivar made: tenant and id of the request that made each part, by engine, salt and part.
    :ivar used: tenant that used a part, and the tenant and request that had made it.
    """

    made: dict[tuple[str, str, str], tuple[str, str]] = {}
    used: list[tuple[str, str, str, str]] = []

    def run(self, request: Request, sock: socket.socket) -> bytes:
        salt = request.headers.get("cache-salt", "")
        who, request_id = request.headers["tenant"], request.headers["request-id"]
        self.record.line("run", worker=self.id, id=request_id, tenant=who, salt=salt)
        with self.lock:
            for entry in request.headers["prompt-prefix"].split(","):
                part = entry.partition(":")[0]
                key = (self.id, salt, part)
                if key not in self.made:
                    self.made[key] = (who, request_id)
                    self.record.line("made", worker=self.id, part=part, salt=salt, tenant=who)
                elif self.made[key][0] != who:
                    self.used.append((request_id, who, *self.made[key]))
                    maker, by = self.made[key]
                    self.record.line(
                        "used", id=request_id, part=part, tenant=who, made_by=maker, made_in=by
                    )
        return event_stream(self, request, sock, 5)


def ask_guide(node: Node, record: Record, who: str) -> str:
    """Sends a tenant's request about the guide; returns its id."""
    request_id = uuid.uuid4().hex[:16]
    headers = {
        "Host": "h.example",
        "Request-Id": request_id,
        "Authorization": f"Token key-{who}",
        "Deadline-Ms": "12000",
        "Model": "m0",
        "Token-Usage": "1000,20",
        "Prompt-Prefix": f"{GUIDE}:800,{request_id[:8]}:200",
    }
    record.line("send", id=request_id, node=node.ip, tenant=who)
    status, _headers, body = ask(node.front, "POST", "/draft/a", headers, b"x" * 600, 12.0)
    record.line("answer", id=request_id, status=status, events=body.count(b"data: "))
    if status != 200:
        raise CaseError(f"a request of {who} got {status}")
    return request_id


def case(record: Record, trouble: bool) -> bool:
    store = Store()
    store.write("keyed.op", "config", configuration(1))
    for number in (1, 2):
        EngineWorker(f"i-e{number}", "llm", store, record, "m0")
    fleet = Fleet(2, store.address)
    try:
        fleet.start()
        time.sleep(1.0)
        for node in fleet.nodes * 3:
            ask_guide(node, record, "north")
        tenants = [tenant("north", isolated=trouble), tenant("south")]
        store.write("keyed.op", "config", configuration(2, tenants=tenants))
        record.line("configuration", version=2, isolated="north" if trouble else "nobody")
        time.sleep(APPLY_S)
        later = [
            ask_guide(node, record, who) for node in fleet.nodes * 3 for who in ("south", "north")
        ]
    finally:
        fleet.stop()
    # Only requests that were sent after the bound count, and only while a tenant is isolated.
    broken = [use for use in EngineWorker.used if use[0] in later and trouble]
    shared = [use for use in EngineWorker.used if use[0] in later]
    record.line("result", uses_across_tenants=len(shared), of_an_isolated_tenant=len(broken))
    print(
        f"{len(later)} requests after the change, {len(shared)} parts of another tenant used, "
        f"{len(broken)} where one of the two is isolated"
    )
    return not broken


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
