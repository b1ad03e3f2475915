#ifndef TESTS_RAW_SERVER_H_
#define TESTS_RAW_SERVER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace Poco::Net {
class ServerSocket;
class StreamSocket;
}  // namespace Poco::Net

namespace shallot {

/// One accepted connection of a RawServer. Calls block; they return false or an empty string after
/// the peer has closed the connection.
class RawConnection {
 public:
  explicit RawConnection(Poco::Net::StreamSocket* socket) : socket_(socket) {}
  bool Send(std::string_view bytes);
  /// Reads up to the end of a request's head. Bodies are not expected.
  std::string ReadHead();
  /// Reads `count` bytes, fewer if the peer closes the connection before.
  std::string ReadBytes(size_t count);
  /// Sends `bytes` again and again until the peer closes the connection or `limit` bytes are sent.
  /// Returns the number of bytes sent.
  uint64_t SendWithoutEnd(std::string_view bytes, uint64_t limit);
  /// Waits for `pause`. Returns false if the peer closes the connection meanwhile.
  bool Pause(std::chrono::milliseconds pause);
  /// Works on a request for `limit`, like a server that goes on until its peer resets the
  /// connection: the end of the peer's stream only means that no further request follows. Returns
  /// true if the peer has reset it.
  bool WorkUntilReset(std::chrono::milliseconds limit);
  /// Ends this side's stream in order. The peer may go on sending.
  void EndStream();
  /// Resets the connection.
  void Reset();
  /// Waits until the peer closes the connection, discarding what it sends.
  void AwaitClose();

 private:
  Poco::Net::StreamSocket* socket_;
};

/// Sizes of the sockets that a RawServer accepts; 0 leaves the operating system's. On loopback they
/// are far larger than on a network.
struct RawServerOptions {
  int receive_buffer_bytes = 0;
  int segment_bytes = 0;
  /// A send that blocks for this long fails, as at a server that gives up an unread answer.
  std::chrono::milliseconds send_timeout{30'000};
};

/// TCP server on a free loopback port that runs a script for each connection, on a thread of its
/// own. Plays servers whose bytes are not valid answers.
class RawServer {
 public:
  /// `number`: 0 for the first accepted connection.
  using Script = std::function<void(RawConnection* connection, int number)>;
  explicit RawServer(Script script, const RawServerOptions& options = {});
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  const std::string& address() const { return address_; }
  int accepted() const { return accepted_; }

 private:
  void Serve();

  Script script_;
  std::chrono::milliseconds send_timeout_;
  std::unique_ptr<Poco::Net::ServerSocket> listener_;
  std::string address_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> accepted_{0};
  std::vector<std::jthread> connections_;
  std::jthread thread_;
};

}  // namespace shallot

#endif  // TESTS_RAW_SERVER_H_
