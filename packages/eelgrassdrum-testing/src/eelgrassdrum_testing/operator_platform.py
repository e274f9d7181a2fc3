"""
A log and an entry instance's operator API in one small server, with faults of the log.

The fold behind it is the real one, so outcomes are those that an entry instance would give.
"""

import contextlib
import io
import json
import threading
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import msgspec

from eelgrassdrum_cli import run
from eelgrassdrum_core import StoredRecord, fold_record, record_from_json
from eelgrassdrum_core._fold import LogPosition
from eelgrassdrum_core._log_follower import APPLIERS
from eelgrassdrum_core._state import Fold

OPERATOR_KEY = "egd_staff_secret"

Fault = Callable[["Platform", list[Any]], tuple[int, Any] | None]
"""Meets an append: gives the status and content of the answer, or ``None`` to give none."""


class Platform(msgspec.Struct):
    """
    A log and an entry instance in one server.

    :param url: where it listens.
    :param records: the control stream.
    :param faults: meet the next appends in turn.
    :param appends: how many appends were tried.
    :param is_folding: whether outcomes are known.
    :param lock: held during an append.
    """

    url: str = ""
    records: list[Any] = msgspec.field(default_factory=list)
    faults: list[Fault] = msgspec.field(default_factory=list)
    appends: int = 0
    is_folding: bool = True
    lock: Any = msgspec.field(default_factory=threading.Lock)


class Result(NamedTuple):
    """
    What a command gave back.
    """

    code: int
    out: str
    err: str

    def json(self) -> Any:
        """
        Read the output.
        """
        return json.loads(self.out)


def store(platform: Platform, records: list[Any]) -> tuple[int, Any]:
    """
    Append the records and answer with their offsets.
    """
    platform.records += records
    head = len(platform.records)
    return 200, {"offsets": list(range(head - len(records) + 1, head + 1)), "head": head}


def lose_answer(platform: Platform, records: list[Any]) -> tuple[int, Any] | None:
    """
    Append the records and close the connection.
    """
    store(platform, records)
    return None


def lose_request(platform: Platform, records: list[Any]) -> tuple[int, Any] | None:
    """
    Close the connection without an effect.
    """
    return None


def answer_rubbish(platform: Platform, records: list[Any]) -> tuple[int, Any]:
    """
    Append the records and answer with no JSON.
    """
    store(platform, records)
    return 200, "<html>"


def out_of_service(platform: Platform, records: list[Any]) -> tuple[int, Any]:
    """
    Answer that the log is out, without an effect.
    """
    return 503, {}


def out_of_service_after_storing(platform: Platform, records: list[Any]) -> tuple[int, Any]:
    """
    Append the records and answer that the log is out.
    """
    store(platform, records)
    return 503, {}


def over_the_cap(platform: Platform, records: list[Any]) -> tuple[int, Any]:
    """
    Answer that the cap on appends is reached.
    """
    return 429, {}


def refuse(platform: Platform, records: list[Any]) -> tuple[int, Any]:
    """
    Refuse the records for good.
    """
    return 400, {}


def overtake(platform: Platform, records: list[Any]) -> tuple[int, Any]:
    """
    Append another writer's record of the subject first.
    """
    other = {**records[0], "id": {"writer": "cli-rival-0", "incarnation": 1, "sequence": 1}}
    store(platform, [other])
    return store(platform, records)


def read(platform: Platform, query: dict[str, list[str]]) -> tuple[int, Any]:
    """
    Answer a read of the stream.

    :param platform: holds the records.
    :param query: ``from`` and ``limit``.
    :returns: the HTTP status and the content.
    """
    start, limit = int(query["from"][0]), int(query["limit"][0])
    chosen = platform.records[start - 1 : start - 1 + limit]
    records = [{"offset": start + n, "record": item} for n, item in enumerate(chosen)]
    return 200, {"records": records, "head": len(platform.records), "first": 1}


def fold(platform: Platform) -> tuple[LogPosition, Fold]:
    """
    Fold what was appended so far.

    :param platform: holds the records.
    :returns: the position with its decisions, and the folded state.
    """
    position, folded = LogPosition(), Fold()
    for offset, raw in enumerate(platform.records, start=1):
        fold_record(position, APPLIERS, folded, StoredRecord(offset, record_from_json(raw)))
    return position, folded


def operate(platform: Platform, path: str, query: dict[str, list[str]]) -> tuple[int, Any]:
    """
    Answer a call of the operator API.

    :param platform: holds the records.
    :param path: the path below ``/v1/operator/``.
    :param query: the call's query.
    :returns: the HTTP status and the content.
    """
    position, folded = fold(platform)
    parts = path.split("/")
    if parts[0] == "subjects":
        prefix = query["prefix"][0]
        found = {key: n for key, n in position.revisions.items() if key.startswith(prefix)}
        return 200, {"subjects": found}
    if parts[0] == "documents":
        revisions = folded.config.documents.get(parts[1])
        if not revisions:
            return 404, {}
        history = [{"revision": item.offset, **item._asdict()} for item in revisions]
        return 200, {**history[-1], "history": history}
    for record_id, decision in position.decisions.items():
        if platform.is_folding and [str(part) for part in record_id] == parts[1:]:
            state = "accepted" if decision.accepted else "rejected"
            return 200, {"state": state, **decision._asdict(), "record": None}
    return 200, {"state": "unknown"}


def make_handler(platform: Platform) -> type[BaseHTTPRequestHandler]:
    """
    Make the request handler of a server.

    :param platform: what it serves.
    :returns: a handler class, which is the unit of `http.server`.
    """

    class Handler(BaseHTTPRequestHandler):
        def do_GET(self) -> None:
            parts = urlsplit(self.path)
            query = parse_qs(parts.query)
            if not parts.path.startswith("/v1/operator/"):
                self.answer(read(platform, query))
            elif self.headers["Authorization"] != f"Bearer {OPERATOR_KEY}":
                self.answer((403, {}))
            else:
                path = parts.path.removeprefix("/v1/operator/")
                self.answer(operate(platform, path, query))

        def do_POST(self) -> None:
            records = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
            with platform.lock:
                platform.appends += 1
                action = platform.faults.pop(0) if platform.faults else store
                self.answer(action(platform, records))

        def answer(self, answer: tuple[int, Any] | None) -> None:
            if answer is None:
                return
            content = answer[1] if isinstance(answer[1], str) else json.dumps(answer[1])
            self.send_response(answer[0])
            self.send_header("Content-Length", str(len(content)))
            self.end_headers()
            self.wfile.write(content.encode())

        def log_message(self, *arguments: Any) -> None:
            pass

    return Handler


def platform() -> Iterator[Platform]:
    """
    Serve a new platform while a test runs.

    :returns: a generator that gives the platform once.
    """
    state = Platform()
    server = ThreadingHTTPServer(("127.0.0.1", 0), make_handler(state))
    state.url = f"http://127.0.0.1:{server.server_address[1]}"
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield state
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def command(platform: Platform, *arguments: str, **changes: str) -> Result:
    """
    Run one command of the client against a platform.

    :param platform: the log and the only entry instance, unless changed.
    :param arguments: the command line without settings.
    :param changes: settings by name, such as ``log_url``.
    :returns: the exit code and what was printed.
    """
    settings = {
        "log-url": platform.url,
        "entry-url": platform.url,
        "operator": "staff",
        "operator-key": OPERATOR_KEY,
        "output": "json",
        "timeout-s": "20",
    }
    for name, value in changes.items():
        settings[name.replace("_", "-")] = value
    flags = [part for name, value in settings.items() for part in (f"--{name}", value)]
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = run([*arguments, *flags])
    return Result(code, out.getvalue(), err.getvalue())
