#ifndef DRIVERS_GATEWAY_CALLER_CONNECTION_H_
#define DRIVERS_GATEWAY_CALLER_CONNECTION_H_

#include <memory>
#include <string>
#include <string_view>

#include "drivers/gateway/caller_listener.h"
#include "drivers/gateway/http_message.h"
#include "drivers/gateway/http_parser.h"
#include "drivers/gateway/tcp_connection.h"

namespace shallot::gateway {

/// One connection of a caller. Handles one request at a time; pipelined requests are buffered.
class CallerConnection final : public TcpHandler {
 public:
  /// `caller`: the other end's address, for log lines.
  CallerConnection(CallerListener* listener, const Poco::Net::StreamSocket& accepted,
                   std::string caller);
  ~CallerConnection() override;

  /// Sends a whole answer and continues with the next request.
  void Answer(const HttpMessage& answer);
  /// Starts an answer whose body follows in chunks.
  void BeginStream(const HttpHead& head);
  void SendChunk(std::string_view data);
  void FinishStream();
  /// Resets the connection, so that a partial answer does not look complete.
  void Abort();

  /// Whether neither a request nor a part of one has arrived that has no answer yet, and all
  /// answers have been sent.
  bool idle() const {
    return !busy_ && input_.empty() && !parser_.begun() && !tcp_.has_unread_bytes() &&
           tcp_.queued_bytes() == 0;
  }
  bool open() const { return tcp_.open(); }
  /// Bytes that the connection has allocated for received and unsent bytes, apart from its call.
  size_t allocated_bytes() const {
    return input_.capacity() + body_.capacity() + parser_.allocated_bytes() +
           tcp_.allocated_bytes();
  }
  /// Bytes of answers that the caller has not read yet.
  size_t queued_bytes() const { return tcp_.queued_bytes(); }
  const std::string& caller() const { return caller_; }
  /// Time at which the first byte of the current request was read.
  SteadyTime request_started_at() const { return request_started_at_; }

  void OnData(std::string_view bytes) override;
  void OnEnd(bool reset) override;
  void OnSent() override;
  void OnDrained() override;

 private:
  /// Limit on pipelined bytes that are buffered while a request is in progress.
  static constexpr size_t kMaxPipelinedBytes = 262'144;
  /// Limit on unsent bytes. If more are queued, the caller is assumed to have stopped reading, and
  /// the connection is closed.
  static constexpr size_t kMaxQueuedBytes = 8'388'608;
  /// Capacity that an empty input buffer keeps for the next request.
  static constexpr size_t kKeptCapacity = 1'024;

  void Parse();
  /// Removes parsed bytes, and releases the memory of a buffer that becomes empty.
  void ConsumeInput(size_t bytes);
  void Refuse(int status, const std::string& reason);
  bool HasValidFraming(const HttpHead& head) const;
  /// Answers the request without its body, which is then read and discarded, if there is no memory
  /// for it. A connection that were closed with unread bytes would lose the answer.
  void RefuseBodyWithoutMemory();
  /// Whether the next pipelined request has to wait until the caller has read its answers.
  bool MustReadFirst() const;
  /// Sends the bytes and counts what stays queued.
  void Send(std::string_view bytes);
  void HandleRequest();
  void FinishAnswer();
  /// Closes the connection if no data arrives for the time limit in force.
  void ArmTimer();
  void StartTimer();
  void StopTimer();
  Millis TimeLimit() const;

  CallerListener* listener_;
  HttpParser parser_;
  TcpConnection tcp_;
  std::string caller_;
  std::string input_;
  std::string body_;
  bool busy_ = false;
  bool close_after_ = false;
  bool closing_when_drained_ = false;
  bool continue_sent_ = false;
  /// The current request has been refused; the rest of its body is discarded.
  bool discarding_ = false;
  HeldBytes held_answer_;
  HeldBytes held_body_;
  SteadyTime request_started_at_{};
  TimerId timer_;
  /// Since when the connection has waited for data.
  SteadyTime waiting_since_{};
  /// Scheduled callbacks hold a weak reference to detect that the connection was destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shallot::gateway

#endif  // DRIVERS_GATEWAY_CALLER_CONNECTION_H_
