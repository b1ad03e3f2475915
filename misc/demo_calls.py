"""Calls of the demo: requests, expected answers and the table of outcomes."""

import http.client as http_module
import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

CALL_TIMEOUT_SECONDS = 60
ORDER_TRIES = 5
CLASSES = ("premium", "status", "interactive", "manuscript", "batch")
OUTCOMES = ("completed", "not-run", "failed", "unknown")


class Answer:
    """Status, headers and body of an HTTP response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


def http(method, address, path, body=None, headers=None, timeout=5):
    """Sends one HTTP request on a new connection and returns its response."""
    connection = http_client(address, timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Answer(response.status, response.headers, response.read())
    finally:
        connection.close()


def http_client(address, timeout):
    host, port = address.rsplit(":", 1)
    return http_module.HTTPConnection(host, int(port), timeout=timeout)


def answer_seed(entry, prompt):
    """Seed of the answer to a prompt: FNV-1a, as in main/standin/engine_calls.cc."""
    value = 14695981039346656037
    for byte in f"{entry}\n{prompt}".encode():
        value = ((value ^ byte) * 1099511628211) & 0xFFFFFFFFFFFFFFFF
    return value


def expected_text(entry, prompt, tokens):
    seed = answer_seed(entry, prompt)
    return "".join(
        f"t{(((seed + index * 2654435761) & 0xFFFFFFFFFFFFFFFF) >> 16) & 0xFFFF:04x} "
        for index in range(tokens))


class Record:
    """The outcome of one call and the details needed to check it."""

    def __init__(self, call_class, kind):
        self.call_class = call_class
        self.kind = kind
        self.outcome = "unknown"
        self.detail = ""
        self.seconds = 0.0
        self.cold = False
        self.wrong = ""
        self.seed = None
        self.key = None
        self.body = b""
        self.status = 0


class Caller:
    """Makes calls through the routers of one fleet and records their outcomes. Thread-safe."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.records = []
        self.lock = threading.Lock()
        self.warm = set()
        self.count = 0

    def router(self, index):
        return self.fleet.routers[index % len(self.fleet.routers)]["caller"]

    def add(self, record):
        with self.lock:
            self.records.append(record)
        return record

    def unique_prompt(self, text):
        with self.lock:
            self.count += 1
            return f"{text} ({self.fleet.name} {self.count})"

    def complete(self, router, entry, call_class, text="Check this text.", tokens=16,
                 stream=False, chat=True, on_first_byte=None):
        """Makes one model call and checks its answer."""
        prompt = self.unique_prompt(text)
        record = Record(call_class, "model")
        record.seed = answer_seed(entry, prompt)
        record.cold = entry not in self.warm
        body = {"model": entry, "max_tokens": tokens, "stream": stream}
        if chat:
            body["messages"] = [{"role": "user", "content": prompt}]
        else:
            body["prompt"] = prompt
        path = "/v1/chat/completions" if chat else "/v1/completions"
        headers = {"Content-Type": "application/json", "X-Shallot-Class": call_class}
        self.exchange(record, router, "POST", path, json.dumps(body).encode(), headers,
                      on_first_byte)
        if record.detail:
            record.detail = f"{entry}: {record.detail}"
        if record.outcome == "completed":
            self.warm.add(entry)
            got = streamed_text(record.body) if stream else plain_text(record.body)
            if got != expected_text(entry, prompt, tokens):
                record.wrong = (f"{entry}: wrong answer with HTTP {record.status}: "
                                f"{record.body[:200]!r}")
        return self.add(record)

    def service(self, router, method, path, call_class, key=None, body=b""):
        """Makes one call to the plain service and checks its answer."""
        record = Record(call_class, "order" if key else "service")
        record.key = key
        headers = {"Content-Type": "application/json"}
        if key:
            headers["Idempotency-Key"] = key
        name = self.fleet.plan["service"][0]
        for attempt in range(ORDER_TRIES):
            self.exchange(record, router, method, f"/services/{name}{path}", body, headers)
            if not key or record.outcome != "unknown" or record.status == 0:
                break
            # The order is still running: a later retry with its key gets the recorded answer.
            time.sleep(0.1 * (attempt + 1))
        if record.outcome == "completed":
            answer = parsed(record.body)
            if answer.get("path") != path or answer.get("body") != body.decode():
                record.wrong = (f"{method} {path}: wrong answer with HTTP {record.status}: "
                                f"{record.body[:200]!r}")
        return self.add(record)

    def exchange(self, record, router, method, path, body, headers, on_first_byte=None):
        started = time.monotonic()
        connection = http_client(self.router(router), CALL_TIMEOUT_SECONDS)
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            first = response.read(1)
            if on_first_byte:
                on_first_byte()
            record.body = first + response.read()
            record.status = response.status
            self.settle(record, response)
        except (OSError, http_module.HTTPException) as error:
            record.outcome = "unknown"
            record.detail = f"{type(error).__name__}: {error}"
        finally:
            connection.close()
            record.seconds = time.monotonic() - started

    @staticmethod
    def settle(record, response):
        """Reads the outcome from the header; a stream is complete when it ends with [DONE]."""
        outcome = response.headers.get("X-Shallot-Outcome", "")
        streamed = "text/event-stream" in response.headers.get("Content-Type", "")
        if streamed:
            done = record.body.rstrip().endswith(b"data: [DONE]")
            outcome = "completed" if done else "failed"
        record.outcome = outcome if outcome in OUTCOMES else "unknown"
        if record.outcome != "completed":
            record.detail = f"HTTP {response.status}: {record.body[-300:].decode(errors='replace')}"

    def run_all(self, calls, threads=48):
        """Runs the calls concurrently; returns their records."""
        with ThreadPoolExecutor(max_workers=threads) as pool:
            return [future.result() for future in [pool.submit(call) for call in calls]]


def parsed(body):
    """The JSON object in `body`; an empty dictionary when there is none."""
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def choice_text(answer):
    """Text of an answer or of a stream event; empty when it has none."""
    for choice in answer.get("choices", []):
        part = choice.get("message") or choice.get("delta") or {}
        return choice.get("text") or part.get("content", "")
    return ""


def plain_text(body):
    return choice_text(parsed(body))


def streamed_text(body):
    return "".join(choice_text(parsed(line[6:])) for line in body.decode().split("\n")
                   if line.startswith("data: {"))


def quantile(values, share):
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def print_table(name, records):
    print(f"\n{name}")
    head = ("class", "calls", *OUTCOMES, "p50 ms", "p99 ms", "cold", "cold p99 ms", "warm p99 ms")
    print(" ".join(f"{title:>11}" for title in head))
    for call_class in CLASSES:
        chosen = [record for record in records if record.call_class == call_class]
        done = [record for record in chosen if record.outcome == "completed"]
        cold = [record.seconds for record in done if record.cold]
        warm = [record.seconds for record in done if not record.cold]
        row = [call_class, len(chosen)]
        row += [sum(record.outcome == outcome for record in chosen) for outcome in OUTCOMES]
        times = [record.seconds for record in done]
        row += [f"{1000 * quantile(times, 0.5):.1f}", f"{1000 * quantile(times, 0.99):.1f}"]
        row += [len(cold), f"{1000 * quantile(cold, 0.99):.1f}",
                f"{1000 * quantile(warm, 0.99):.1f}"]
        print(" ".join(f"{value:>11}" for value in row))
