#include "drivers/gateway/caller_listener.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>

#include "core/log.h"
#include "drivers/gateway/caller_connection.h"

namespace shallot::gateway {
namespace {

/// Length of the kernel's accept queue. When it is full, the kernel drops new SYNs, and clients
/// retransmit them only after a second.
constexpr int kBacklog = 1024;

}  // namespace

HttpMessage CallerHandler::NoMemoryAnswer(const HttpHead& /*request*/) {
  return TextAnswer(503, "Service Unavailable", "text/plain", "no memory for the request's body\n");
}

CallerListener::CallerListener(EventLoop* loop, std::string name, CallerHandler* handler)
    : loop_(loop), name_(std::move(name)), handler_(handler) {}

CallerListener::~CallerListener() {
  connections_.clear();
  if (socket_) loop_->Remove(*socket_);
}

Status CallerListener::Open(const std::string& address) {
  try {
    socket_ = std::make_unique<Poco::Net::ServerSocket>();
    socket_->bind(Poco::Net::SocketAddress(address), true);
    socket_->listen(kBacklog);
    socket_->setBlocking(false);
    loop_->Add(*socket_, this, false);
  } catch (const Poco::Exception& error) {
    socket_.reset();
    return Error{ErrorKind::kConflict, "cannot listen on " + address + ": " + error.displayText(),
                 "stop the process that uses the address or configure another one"};
  }
  return OkStatus();
}

bool CallerListener::AcceptOne() {
  try {
    // Polls first, so that accept is not called when no connection is pending.
    if (!socket_->poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) return false;
    Poco::Net::SocketAddress caller;
    const Poco::Net::StreamSocket accepted = socket_->acceptConnection(caller);
    auto connection = std::make_unique<CallerConnection>(this, accepted, caller.toString());
    if (connection->open()) connections_[connection.get()] = std::move(connection);
    return true;
  } catch (const Poco::Exception& error) {
    LogWarning("caller", name_ + ": cannot accept a connection: " + error.displayText());
    return false;
  }
}

void CallerListener::OnReadable() {
  for (int count = 0; count < kMaxAcceptsPerIteration && AcceptOne(); ++count) {
  }
}

void CallerListener::StopAccepting() {
  if (!socket_) return;
  for (int count = 0; count < kBacklog && AcceptOne(); ++count) {
  }
  loop_->Remove(*socket_);
  socket_.reset();
  LogInfo("caller", name_ + ": event=accepting-ended");
}

void CallerListener::Drop(CallerConnection* connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  std::shared_ptr<CallerConnection> last(std::move(found->second));
  connections_.erase(found);
  loop_->Defer([last] {});
}

void CallerListener::CloseIdleConnections() {
  std::vector<CallerConnection*> idle;
  for (const auto& [connection, owned] : connections_) {
    if (connection->idle()) idle.push_back(connection);
  }
  for (CallerConnection* connection : idle) connection->OnEnd(false);
}

size_t CallerListener::allocated_bytes() const {
  size_t bytes = 0;
  for (const auto& [connection, owned] : connections_) bytes += connection->allocated_bytes();
  return bytes;
}

bool CallerListener::HasRequests() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& entry) { return !entry.first->idle(); });
}

}  // namespace shallot::gateway
