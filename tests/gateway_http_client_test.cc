#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/crash_trace.h"
#include "drivers/gateway/buffered_call.h"
#include "drivers/gateway/event_loop.h"
#include "drivers/gateway/http_client.h"
#include "tests/raw_server.h"

namespace shallot::gateway {
namespace {

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char* kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// No test sends more; reaching it means that the client did not close the connection.
constexpr uint64_t kEndless = 268'435'456;

/// Records the end of one exchange and then calls `done`.
class RecordingHandler final : public ExchangeHandler {
 public:
  RecordingHandler(HeadVerdict verdict, std::function<void()> done)
      : verdict_(verdict), done_(std::move(done)) {}
  HeadVerdict OnHead(const HttpHead& /*head*/) override { return verdict_; }
  void OnBody(std::string data) override { body_ += data; }
  void OnComplete() override {
    result_ = "complete";
    done_();
  }
  void OnFailure(ExchangeFailure failure, const std::string& /*detail*/) override {
    result_ = failure == ExchangeFailure::kMalformed      ? "malformed"
              : failure == ExchangeFailure::kNotConnected ? "not connected"
                                                          : "lost";
    done_();
  }
  const std::string& result() const { return result_; }

 private:
  HeadVerdict verdict_;
  std::function<void()> done_;
  std::string body_;
  std::string result_;
};

// Guards against a client that reads a list of idle connections after it has freed the list, when
// the last connection to an address has expired (docs/incidents/2026-12-04-gateway-crash.md).
TEST_CASE("http client: opens a new connection when all idle ones have expired") {
  for (const int idle : {1, 3}) {
    CAPTURE(idle);
    RawServer server([](RawConnection* connection, int /*number*/) {
      while (!connection->ReadHead().empty()) {
        connection->Send("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok");
      }
    });
    ManualClock clock;
    EventLoop loop(&clock);
    HttpClient client(&loop);
    RecordingHandler last(HeadVerdict::kAccept, [&] { loop.Stop(); });
    int completed = 0;
    RecordingHandler first(HeadVerdict::kAccept, [&] {
      if (++completed < idle) return;
      loop.After(Duration(0), [&] {
        // More than the server's idle timeout, less than the interval of CloseExpired().
        clock.Advance(Millis(800));
        (void)client.Start(server.address(), kRequest, {}, &last);
      });
    });
    for (int count = 0; count < idle; ++count) {
      (void)client.Start(server.address(), kRequest, {}, &first);
    }
    loop.Run();
    CHECK(last.result() == "complete");
    CHECK(client.connections_opened() == static_cast<uint64_t>(idle) + 1);
    CHECK(client.connections_open() == 1);
  }
}

// Guards against memory that grows, and a connection that stays open, while a server sends bytes
// without end that are not an answer.
TEST_CASE("http client: ends an exchange whose answer has no end") {
  struct Case {
    const char* name;
    const char* begin;
    const char* repeated;
    HeadVerdict verdict;
  };
  for (const Case& test : std::vector<Case>{
           {"field of the head", "HTTP/1.1 200 OK\r\nX: ", "xxxxxxxxxxxxxxxx",
            HeadVerdict::kAccept},
           {"fields of the head", "HTTP/1.1 200 OK\r\n", "X: yyyyyyyyyyyy\r\n",
            HeadVerdict::kAccept},
           {"status line", "", "HTTP/1.1", HeadVerdict::kAccept},
           {"body until the connection ends", "HTTP/1.1 200 OK\r\n\r\n", "zzzzzzzzzzzzzzzz",
            HeadVerdict::kAccept},
           {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nzzzzzzzz\r\n",
            HeadVerdict::kAccept},
           {"size of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "0000000000", HeadVerdict::kAccept},
           {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", HeadVerdict::kAccept},
           {"answers to other requests", "", kAnswer, HeadVerdict::kSkip},
           {"body of another answer", "HTTP/1.1 200 OK\r\n\r\n", "zzzzzzzzzzzzzzzz",
            HeadVerdict::kSkip}}) {
    CAPTURE(std::string(test.name));
    std::string block;
    while (block.size() < 65'536) block += test.repeated;
    std::atomic<uint64_t> sent = 0;
    {
      RawServer server([&](RawConnection* connection, int /*number*/) {
        (void)connection->ReadHead();
        connection->Send(test.begin);
        sent = connection->SendWithoutEnd(block, kEndless);
      });
      const SystemClock clock;
      EventLoop loop(&clock);
      HttpClient client(&loop);
      RecordingHandler handler(test.verdict, [&] { loop.Stop(); });
      ExchangeOptions options;
      options.max_body_bytes = 1'048'576;
      (void)client.Start(server.address(), kRequest, options, &handler);
      loop.Run();
      CHECK(handler.result() == "malformed");
      CHECK(client.connections_open() == 0);
    }
    CHECK(sent < kEndless);
  }
}

// Guards against a call that counts as answered because the answer to another request, which the
// handler skips, ends with its connection (review/2: the caller got "HTTP/1.1 0").
TEST_CASE("http client: an answer to another request completes nothing") {
  struct Case {
    const char* name;
    const char* answer;
  };
  for (const Case& test :
       {Case{"ends with the connection", "HTTP/1.1 200 OK\r\n\r\nlate"},
        Case{"ends with the connection, empty", "HTTP/1.1 200 OK\r\n\r\n"},
        Case{"with a length, then the connection ends", kAnswer},
        Case{"cut in its head", "HTTP/1.1 200 OK\r\nContent-"},
        Case{"cut in its body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nla"}}) {
    CAPTURE(std::string(test.name));
    RawServer server([&](RawConnection* connection, int /*number*/) {
      (void)connection->ReadHead();
      connection->Send(test.answer);
    });
    const SystemClock clock;
    EventLoop loop(&clock);
    HttpClient client(&loop);
    RecordingHandler handler(HeadVerdict::kSkip, [&] { loop.Stop(); });
    (void)client.Start(server.address(), kRequest, {}, &handler);
    loop.Run();
    CHECK(handler.result() == "lost");
  }
}

// Guards against an answer that looks whole although its server stopped within its head, its length
// or its chunks and closed the connection.
TEST_CASE("http client: an answer cut off at any byte is not complete") {
  for (const std::string& answer : std::vector<std::string>{
           kAnswer,
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 1\r\n\r\nx"}) {
    RawServer server([&](RawConnection* connection, int number) {
      if (connection->ReadHead().empty()) return;
      connection->Send(std::string_view(answer).substr(0, static_cast<size_t>(number)));
    });
    const SystemClock clock;
    EventLoop loop(&clock);
    HttpClient client(&loop);
    std::vector<std::unique_ptr<RecordingHandler>> handlers;
    std::function<void()> next = [&] {
      if (handlers.size() > answer.size()) {
        loop.Stop();
        return;
      }
      handlers.push_back(std::make_unique<RecordingHandler>(
          HeadVerdict::kAccept, [&] { loop.After(Duration(0), next); }));
      (void)client.Start(server.address(), kRequest, {}, handlers.back().get());
    };
    loop.After(Duration(0), next);
    loop.Run();
    for (size_t sent = 0; sent <= answer.size(); ++sent) {
      CAPTURE(answer.substr(0, sent));
      CHECK((handlers[sent]->result() == "complete") == (sent == answer.size()));
    }
  }
}

// Guards against a request that is sent after the permission for it has ended, because the process
// was suspended while the connection was being established.
TEST_CASE("http client: sends nothing on a new connection if the request is no longer wanted") {
  std::atomic<bool> received = false;
  {
    RawServer server([&](RawConnection* connection, int /*number*/) {
      received = !connection->ReadHead().empty();
    });
    const SystemClock clock;
    EventLoop loop(&clock);
    HttpClient client(&loop);
    RecordingHandler handler(HeadVerdict::kAccept, [&] { loop.Stop(); });
    ExchangeOptions options;
    options.still_wanted = [] { return false; };
    (void)client.Start(server.address(), kRequest, options, &handler);
    loop.Run();
    CHECK(handler.result() == "not connected");
  }
  CHECK_FALSE(received);
}

// Guards against a late second copy of a call's answer that is taken for the answer to an order or
// a report on the same connection.
TEST_CASE("buffered calls: skip the answer of a caller's call") {
  RawServer server([](RawConnection* connection, int /*number*/) {
    (void)connection->ReadHead();
    connection->Send("HTTP/1.1 200 OK\r\nX-Call: 7\r\nContent-Length: 4\r\n\r\nlate");
    connection->Send("HTTP/1.1 409 Conflict\r\nContent-Length: 4\r\n\r\nbusy");
    connection->AwaitClose();
  });
  const SystemClock clock;
  EventLoop loop(&clock);
  HttpClient client(&loop);
  BufferedCalls calls(&loop, &client,
                      [](const HttpHead& head) { return head.Find("X-Call") != nullptr; });
  HttpMessage request;
  request.head.method = "GET";
  request.head.target = "/";
  request.head.Set("Host", "h");
  int status = 0;
  calls.Start(server.address(), request, Millis(20'000), [&](const Result<HttpMessage>& answer) {
    if (IsOk(answer)) status = ValueOf(answer).head.status;
    loop.Stop();
  });
  loop.Run();
  CHECK(status == 409);
}

// Guards against a crash that leaves nothing to find its cause with.
TEST_CASE("crash trace: names the signal and the frames of the stack") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  InstallCrashTrace();
  WriteCrashTrace(ends[1], 11);
  (void)close(ends[1]);
  std::string text;
  std::array<char, 4096> buffer{};
  for (ssize_t count = 1; count > 0;) {
    count = read(ends[0], buffer.data(), buffer.size());
    if (count > 0) text.append(buffer.data(), static_cast<size_t>(count));
  }
  (void)close(ends[0]);
  CHECK(text.find("event=fatal-signal signal=11\n") != std::string::npos);
  CHECK(text.find("(+0x") != std::string::npos);
}

}  // namespace
}  // namespace shallot::gateway
