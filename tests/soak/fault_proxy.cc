#include "tests/soak/fault_proxy.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <netinet/tcp.h>

#include <deque>
#include <utility>
#include <vector>

#include "drivers/gateway/tcp_connection.h"

namespace shallot::soak {
namespace {

constexpr int kBacklog = 256;
constexpr Millis kUnacknowledgedLimit{30'000};

}  // namespace

const char* LinkFaultName(LinkFault fault) {
  switch (fault) {
    case LinkFault::kNone:
      return "none";
    case LinkFault::kDelay:
      return "delay";
    case LinkFault::kCutToServer:
      return "cut-to-server";
    case LinkFault::kCutToClient:
      return "cut-to-client";
    case LinkFault::kDark:
      return "dark";
    case LinkFault::kSilenceOpen:
      return "silence-open";
    case LinkFault::kResetOpen:
      return "reset-open";
    case LinkFault::kRefuse:
      return "refuse";
  }
  return "unknown";
}

/// One proxied connection: a TCP connection to each side, and the data queued between them.
class FaultProxy::Link {
 public:
  Link(FaultProxy* proxy, const Poco::Net::StreamSocket& accepted)
      : proxy_(proxy),
        client_side_(this, true),
        server_side_(this, false),
        client_(proxy->loop_, &client_side_, accepted),
        server_(proxy->loop_, &server_side_, proxy->server_address_, kUnacknowledgedLimit) {
    if (server_.failed()) proxy_->loop_->After(Duration(0), IfAlive([this] { Reset(); }));
  }

  void Silence() { silenced_ = true; }

  void Reset() {
    client_.Close(true);
    server_.Close(true);
    proxy_->DropLink(this);
  }

  /// Forwards queued data that is due, unless the current fault holds it back.
  void Forward() {
    if (silenced_) return;
    const SteadyTime now = proxy_->loop_->Now();
    for (const bool to_server : {true, false}) {
      std::deque<Chunk>& chunks = to_server ? to_server_ : to_client_;
      gateway::TcpConnection& out = to_server ? server_ : client_;
      while (!chunks.empty() && chunks.front().due <= now && !proxy_->IsHeld(to_server)) {
        const Chunk chunk = std::move(chunks.front());
        chunks.pop_front();
        if (chunk.end) {
          // The end of one side closes both; data still queued in the other direction is lost, as
          // with a peer that has gone away.
          client_.Close(chunk.reset);
          server_.Close(chunk.reset);
          proxy_->DropLink(this);
          return;
        }
        out.Send(chunk.bytes);
      }
      if (!chunks.empty() && chunks.front().due > now) {
        proxy_->loop_->After(chunks.front().due - now, IfAlive([this] { Forward(); }));
      }
    }
  }

 private:
  struct Chunk {
    SteadyTime due;
    std::string bytes;
    bool end = false;
    bool reset = false;
  };

  class Side final : public gateway::TcpHandler {
   public:
    Side(Link* link, bool is_client) : link_(link), is_client_(is_client) {}
    void OnData(std::string_view bytes) override {
      link_->Enqueue(is_client_, Chunk{{}, std::string(bytes), false, false});
    }
    void OnEnd(bool reset) override { link_->Enqueue(is_client_, Chunk{{}, "", true, reset}); }

   private:
    Link* link_;
    bool is_client_;
  };

  void Enqueue(bool from_client, Chunk chunk) {
    chunk.due = proxy_->loop_->Now();
    if (proxy_->fault_ == LinkFault::kDelay) chunk.due += proxy_->delay_;
    std::deque<Chunk>& chunks = from_client ? to_server_ : to_client_;
    // Data must not overtake earlier data that was delayed.
    if (!chunks.empty()) chunk.due = std::max(chunk.due, chunks.back().due);
    chunks.push_back(std::move(chunk));
    Forward();
  }

  std::function<void()> IfAlive(std::function<void()> run) {
    return [alive = std::weak_ptr<bool>(alive_), run = std::move(run)] {
      if (!alive.expired()) run();
    };
  }

  FaultProxy* proxy_;
  Side client_side_;
  Side server_side_;
  gateway::TcpConnection client_;
  gateway::TcpConnection server_;
  std::deque<Chunk> to_server_;
  std::deque<Chunk> to_client_;
  bool silenced_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

FaultProxy::FaultProxy(gateway::EventLoop* loop, std::string server_address)
    : loop_(loop), server_address_(std::move(server_address)) {}

FaultProxy::~FaultProxy() {
  links_.clear();
  if (socket_) loop_->Remove(*socket_);
}

Status FaultProxy::Open(const std::string& address) {
  try {
    socket_ = std::make_unique<Poco::Net::ServerSocket>();
    socket_->bind(Poco::Net::SocketAddress(address), true);
    if (shape_.receive_buffer_bytes > 0) socket_->setReceiveBufferSize(shape_.receive_buffer_bytes);
    if (shape_.segment_bytes > 0) {
      socket_->setOption(IPPROTO_TCP, TCP_MAXSEG, shape_.segment_bytes);
    }
    socket_->listen(kBacklog);
    socket_->setBlocking(false);
    loop_->Add(*socket_, this, false);
  } catch (const Poco::Exception& error) {
    return Error{ErrorKind::kConflict, "proxy cannot listen on " + address,
                 "end the process that uses the address"};
  }
  return OkStatus();
}

void FaultProxy::Close() {
  std::vector<Link*> open;
  for (const auto& [link, owned] : links_) open.push_back(link);
  for (Link* link : open) link->Reset();
  if (socket_) loop_->Remove(*socket_);
  socket_.reset();
}

bool FaultProxy::IsHeld(bool to_server) const {
  switch (fault_) {
    case LinkFault::kDark:
      return true;
    case LinkFault::kCutToServer:
      return to_server;
    case LinkFault::kCutToClient:
      return !to_server;
    default:
      return false;
  }
}

void FaultProxy::SetFault(LinkFault fault, Millis delay) {
  fault_ = fault;
  delay_ = delay;
  std::vector<Link*> open;
  for (const auto& [link, owned] : links_) open.push_back(link);
  for (Link* link : open) {
    if (fault == LinkFault::kSilenceOpen) link->Silence();
    if (fault == LinkFault::kResetOpen || fault == LinkFault::kRefuse) {
      link->Reset();
    } else {
      link->Forward();
    }
  }
}

void FaultProxy::OnReadable() {
  while (socket_->poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
    Poco::Net::StreamSocket accepted = socket_->acceptConnection();
    if (fault_ == LinkFault::kRefuse) {
      accepted.setLinger(true, 0);
      accepted.close();
      continue;
    }
    auto link = std::make_unique<Link>(this, accepted);
    links_[link.get()] = std::move(link);
  }
}

void FaultProxy::DropLink(Link* link) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  // Destroyed later: one of the link's own functions may be running.
  std::shared_ptr<Link> last(std::move(found->second));
  links_.erase(found);
  loop_->Defer([last] {});
}

}  // namespace shallot::soak
