"""In-process fakes of the platform's store and workers."""

import base64
import json
import struct
import time
from collections import Counter, defaultdict
from dataclasses import dataclass
from random import Random
from urllib.parse import parse_qs

import gevent
from bottle import Bottle, HTTPResponse, request, response
from gevent.event import Event
from gevent.pywsgi import WSGIServer


class _Server:
    def __init__(self, app) -> None:
        self._server = WSGIServer(("127.0.0.1", 0), app, log=None, error_log=None)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        self._server.stop(timeout=0)


#: Topics whose authors rewrite records that the store has lost.
HEARTBEATS_TOPIC = "keyed.servers"
REWRITTEN_TOPICS = ("keyed.op", HEARTBEATS_TOPIC)


@dataclass(frozen=True)
class StoreCopy:
    """The contents of a store at some time."""

    topics: dict[str, list[tuple[str, bytes]]]
    first: dict[str, int]


class FakeStore(_Server):
    """Keyed topics in memory; a ``status`` other than 200 refuses every call.

    :ivar era: number of the store's era, ``None`` for a store that does not send it.
    """

    def __init__(self) -> None:
        app = Bottle()
        app.get("/arbutustally/log-newest")(self._newest)
        app.get("/arbutustally/log-read")(self._read)
        app.post("/arbutustally/log-append")(self._append)
        self.add_routes(app)
        self.topics: dict[str, list[tuple[str, bytes]]] = defaultdict(list)
        self.first: dict[str, int] = defaultdict(int)
        self.status = 200
        self.refused_topics: set[str] = set()
        self.refusals = 0
        self.read_limit: int | None = None
        self.lose_next_answer = False
        self.calls = 0
        self.reads: Counter[str] = Counter()
        self.waiting: Counter[str] = Counter()
        self.era: int | None = 1
        self.page_size = 500
        self._contents: dict[tuple[str, int], bytes] = {}
        self._authored: dict[tuple[str, str], bytes] = {}
        self._changed = Event()
        self.app = self._with_era(app)
        super().__init__(self.app)

    def _with_era(self, app: Bottle):
        """Adds the era to all responses, including refusals."""

        def serve(environ, start_response):
            def start(status, headers, exc_info=None):
                if self.era is not None:
                    headers = [*headers, ("Store-Era", str(self.era))]
                return start_response(status, headers, exc_info)

            return app(environ, start)

        return serve

    def add_routes(self, app: Bottle) -> None:
        """Adds routes of a subclass."""

    def put(self, topic: str, key: str, value: object | None) -> None:
        data = b"" if value is None else json.dumps(value).encode()
        self.put_raw(topic, key, data)

    def put_raw(self, topic: str, key: str, data: bytes) -> None:
        if topic in REWRITTEN_TOPICS:
            self._authored[topic, key] = data
        self.topics[topic].append((key, data))
        self._wake()

    def put_content(self, topic: str, content: bytes) -> None:
        """Adds a record whose bytes need not have the form of a key and a value."""
        self._contents[topic, len(self.topics[topic])] = content
        self.topics[topic].append(("", b""))
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()

    def take_copy(self) -> StoreCopy:
        """Returns a copy that can be restored later."""
        topics = {topic: list(records) for topic, records in self.topics.items()}
        return StoreCopy(topics, dict(self.first))

    def return_to(self, copy: StoreCopy) -> None:
        """Restores a copy, which loses later records, and begins an era; wakes waiting reads."""
        self.topics = defaultdict(list)
        self.topics.update({topic: list(records) for topic, records in copy.topics.items()})
        self.first = defaultdict(int, copy.first)
        self.era = (self.era or 0) + 1
        self._wake()

    def write_again(self, rng: Random | None = None, late_s: float = 0.0) -> None:
        """Rewrites the operator's records that the store has lost, and all entries of workers.

        Workers write their entries at every heartbeat, whatever the store contains.

        :param rng: determines the order and the pauses; without it, in the original order.
        :param late_s: longest pause before each record, seconds.
        """
        order = list(self._authored)
        if rng is not None:
            rng.shuffle(order)
        for topic, key in order:
            if not self._must_write_again(topic, key):
                continue
            if rng is not None and late_s:
                gevent.sleep(rng.uniform(0.0, late_s))
            # The author may have written a newer record meanwhile.
            if self._must_write_again(topic, key):
                self.put_raw(topic, key, self._authored[topic, key])

    def _must_write_again(self, topic: str, key: str) -> bool:
        authored = self._authored[topic, key]
        _offset, data = self.newest(topic).get(key, (0, b""))
        return data != authored or (topic == HEARTBEATS_TOPIC and bool(authored))

    def drop_history(self, topic: str) -> None:
        self.first[topic] = len(self.topics[topic])

    def newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        found = {}
        for offset, (key, data) in enumerate(self.topics[topic]):
            found.pop(key, None)
            if data:
                found[key] = (offset, data)
        return found

    def _refused(self) -> HTTPResponse | None:
        self.calls += 1
        if request.query.get("topic") in self.refused_topics:
            self.refusals += 1
            return HTTPResponse(status=503)
        return HTTPResponse(status=self.status) if self.status != 200 else None

    def _newest(self):
        if refused := self._refused():
            return refused
        topic, after = request.query["topic"], request.query.get("after")
        items = [
            {"key": key, "value": base64.b64encode(data).decode(), "offset": offset}
            for key, (offset, data) in self.newest(topic).items()
        ]
        start = 1 + [item["key"] for item in items].index(after) if after else 0
        has_more = len(items) > start + self.page_size
        items = items[start : start + self.page_size]
        return {"items": items, "hasMore": has_more, "end": len(self.topics[topic])}

    def _read(self):
        if refused := self._refused():
            return refused
        topic, start = request.query["topic"], int(request.query["from"])
        self.reads[topic] += 1
        deadline = time.monotonic() + int(request.query.get("waitMs", 0)) / 1000
        self.waiting[topic] += 1
        while start == len(self.topics[topic]) and time.monotonic() < deadline:
            self._changed.wait(deadline - time.monotonic())
        self.waiting[topic] -= 1
        if not self.first[topic] <= start <= len(self.topics[topic]):
            response.status = 410
            return {"first": self.first[topic]}
        records = self.topics[topic][start:][: self.read_limit]
        body = struct.pack(">QQ", len(self.topics[topic]), self.first[topic])
        for offset, (key, data) in enumerate(records, start):
            content = self._contents.get((topic, offset))
            if content is None:
                content = bytes([len(key.encode())]) + key.encode() + data
            body += struct.pack(">I", len(content)) + content
        return body

    def _append(self):
        if refused := self._refused():
            return refused
        topic = request.query["topic"]
        # Other calls are served until the complete body has arrived.
        content = request.body.read()[4:]
        end = len(self.topics[topic])
        if "at" in request.query and int(request.query["at"]) != end:
            response.status = 412
            return {"end": end}
        self.put_raw(topic, content[1 : 1 + content[0]].decode(), content[1 + content[0] :])
        if self.lose_next_answer:
            self.lose_next_answer = False
            gevent.sleep(30)
        return {"offset": end, "end": end + 1}


class StorePath(_Server):
    """Path of one node to a store; a ``status`` other than 200 refuses the calls on this path.

    :ivar refused: number of refused calls by topic.
    """

    def __init__(self, store: FakeStore) -> None:
        self.status = 200
        self.refused: Counter[str] = Counter()
        self._store = store
        super().__init__(self._serve)

    def _serve(self, environ, start_response):
        if self.status == 200:
            return self._store.app(environ, start_response)
        self.refused[parse_qs(environ["QUERY_STRING"])["topic"][0]] += 1
        start_response(f"{self.status} Refused", [("Content-Length", "0")])
        return [b""]


class FakeWorker(_Server):
    """A worker; ``behave`` may replace the response to a request.

    :ivar ran: ids of the requests that it ran.
    """

    def __init__(self, worker_id: str, service: str, model: str = "", version: int = 1) -> None:
        app = Bottle()
        app.get("/arbutustally/report")(self._report)
        app.post("/arbutustally/order")(self._order)
        app.get("/arbutustally/kv-events")(self._events)
        app.route("/<path:path>", method=["GET", "POST"])(self._serve)
        self.id = worker_id
        self.service = service
        self.model = model
        self.version = version
        self.ran: list[str] = []
        self.seen: list[dict[str, str]] = []
        self.orders: list[dict] = []
        self.accepted = 0
        self.behave = None
        self.is_leaving = False
        self.pause_s: str | None = None
        #: Version stated in the next responses, ``None`` to state none.
        self.stated_version: int | None = None
        #: Further models in its reports.
        self.other_models: list[dict] = []
        self.asked_at: list[float] = []
        super().__init__(self._with_notices(app))

    def _with_notices(self, app: Bottle):
        """Adds the worker's notices to all its responses."""

        def serve(environ, start_response):
            self.asked_at.append(time.monotonic())

            def start(status, headers, exc_info=None):
                if self.is_leaving:
                    headers = [*headers, ("Server-Leaving", "1")]
                return start_response(status, headers, exc_info)

            if self.pause_s is None:
                return app(environ, start)
            environ["wsgi.input"].read()
            headers = [("Retry-After", self.pause_s), ("Not-Executed", "1")]
            if "HTTP_REQUEST_ID" in environ:
                headers.append(("Request-Id", environ["HTTP_REQUEST_ID"]))
            start("503 Service Unavailable", [*headers, ("Content-Length", "0")])
            return [b""]

        return serve

    def note_run(self, request_id: str) -> None:
        """Called for each request that runs, before its response begins."""

    def note_order(self, order: dict) -> None:
        """Called for each order that is accepted."""

    def entry(self, state: str = "ready") -> dict:
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 4,
            "state": state,
            "coldRemainingMs": 0,
            "models": models if self.model else [],
            "sequence": 3,
            "born": 1,
        }

    def _report(self):
        return {
            "stage": "unified",
            "models": [
                {"name": self.model, "version": self.version, "adapters": []},
                *self.other_models,
            ],
            "busy": False,
            "sequence": self.accepted,
        }

    def _order(self):
        order = json.loads(request.body.read())
        self.orders.append(order)
        if order["expect"] != self.accepted:
            return HTTPResponse(status=409)
        self.accepted += 1
        self.note_order(order)
        self.version = order["version"]
        return HTTPResponse(status=202)

    def _events(self):
        gevent.sleep(0.2)
        return {"bootEpoch": 1, "next": 0, "lost": False, "events": []}

    def _serve(self, path: str):
        headers = dict(request.headers)
        self.seen.append(headers)
        is_other = headers.get("Expect-Instance") != self.id
        if is_other or (self.model and headers.get("Expect-Version") != str(self.version)):
            named = {"Instance-Id": self.id, "Request-Id": headers.get("Request-Id", "")}
            return HTTPResponse(status=421, headers=named)
        if self.behave is not None and (answer := self.behave(headers)) is not None:
            return answer
        self.ran.append(headers["Request-Id"])
        self.note_run(headers["Request-Id"])
        response.set_header("Request-Id", headers["Request-Id"])
        response.set_header("Server-Stamp", f"stamp-{self.id}")
        if self.stated_version is not None:
            response.set_header("Weight-Versions", str(self.stated_version))
        if not self.model:
            return request.body.read() or b"plain answer"
        response.content_type = "text/event-stream"
        return self.stream(int(headers.get("Last-Event-Id") or 0))

    def stream(self, after: int, until: int = 5):
        for number in range(after + 1, until + 1):
            yield f"id: {number}\ndata: piece {number}\n\n".encode()
