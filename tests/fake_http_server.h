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

/// What a FakeHttpServer received.
struct FakeRequest {
  std::string method;
  /// Path and query as sent.
  std::string target;
  std::string body = {};
  std::map<std::string, std::string> headers = {};
};

/// What a FakeHttpServer answers.
struct FakeReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body = {};
  std::map<std::string, std::string> headers = {};
  /// When not empty, sent as a chunked answer instead of `body`.
  std::vector<std::string> chunks = {};
  /// Breaks the connection instead of ending the answer, or before any answer.
  bool cut = false;
};

/// A small HTTP server on a loopback port of its own.
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

/// An address on loopback that refuses connections.
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
