#ifndef TESTS_FAKE_HTTP_SERVER_H_
#define TESTS_FAKE_HTTP_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <semaphore>
#include <string>
#include <vector>

#include "core/bounded_ring.h"

namespace shallot {

/// A request that a FakeHttpServer received.
struct FakeRequest {
  std::string method;
  /// Path and query as received.
  std::string target;
  std::string body = {};
  std::map<std::string, std::string> headers = {};
};

/// The response of a FakeHttpServer.
struct FakeReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body = {};
  std::map<std::string, std::string> headers = {};
  /// If not empty, sent as a chunked response instead of `body`.
  std::vector<std::string> chunks = {};
  /// Closes the connection before the end of the response; without `chunks`, before any response.
  bool disconnect = false;
};

/// An HTTP server on a free loopback port.
class FakeHttpServer {
 public:
  using Handler = std::function<FakeReply(const FakeRequest&)>;
  explicit FakeHttpServer(Handler handler);
  ~FakeHttpServer();
  FakeHttpServer(const FakeHttpServer&) = delete;
  FakeHttpServer& operator=(const FakeHttpServer&) = delete;

  /// "127.0.0.1:port".
  std::string address() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Returns a loopback address that refuses connections.
std::string RefusingAddress();

/// A task ring that a test runs on its own thread until a condition holds.
class TestRing {
 public:
  TestRing() : ring_(1024, [this] { wake_.release(); }) {}
  TaskRing* get() { return &ring_; }
  /// Waits for tasks and runs them until `done` returns true.
  void RunUntil(const std::function<bool()>& done) {
    while (ring_.RunPending(64) > 0 || !done()) {
      if (done()) return;
      wake_.acquire();
    }
  }

 private:
  std::counting_semaphore<> wake_{0};
  TaskRing ring_;
};

}  // namespace shallot

#endif  // TESTS_FAKE_HTTP_SERVER_H_
