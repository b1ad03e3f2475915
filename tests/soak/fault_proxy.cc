#include "tests/soak/fault_proxy.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <deque>
#include <utility>
#include <vector>

#include "drivers/gateway/tcp_connection.h"

namespace shallot::soak {
namespace {

constexpr int kBacklog = 256;
constexpr Millis kUnacknowledged{30'000};

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
        server_(proxy->loop_, &server_side_, proxy->server_address_, kUnacknowledged) {
    if (server_.failed()) proxy_->loop_->After(Duration(0), Alive([this] { Reset(); }));
  }

  void Silence() { silenced_ = true; }

  void Reset() {
    client_.Close(true);
    server_.Close(true);
    proxy_->Drop(this);
  }

  /// Forwards queued data that is due, unless the current fault holds it back.
  void Pump() {
    if (silenced_) return;
    const SteadyTime now = proxy_->loop_->Now();
    for (const bool to_server : {true, false}) {
      std::deque<Piece>& pieces = to_server ? to_server_ : to_client_;
      gateway::TcpConnection& out = to_server ? server_ : client_;
      while (!pieces.empty() && pieces.front().due <= now && !proxy_->Holds(to_server)) {
        const Piece piece = std::move(pieces.front());
        pieces.pop_front();
        if (piece.end) {
          // The end of one side closes both; data still queued in the other direction is lost, as
          // with a peer that has gone away.
          client_.Close(piece.reset);
          server_.Close(piece.reset);
          proxy_->Drop(this);
          return;
        }
        out.Send(piece.bytes);
      }
      if (!pieces.empty() && pieces.front().due > now) {
        proxy_->loop_->After(pieces.front().due - now, Alive([this] { Pump(); }));
      }
    }
  }

 private:
  struct Piece {
    SteadyTime due;
    std::string bytes;
    bool end = false;
    bool reset = false;
  };

  class Side final : public gateway::TcpHandler {
   public:
    Side(Link* link, bool is_client) : link_(link), is_client_(is_client) {}
    void OnData(std::string_view bytes) override {
      link_->Take(is_client_, Piece{{}, std::string(bytes), false, false});
    }
    void OnEnd(bool reset) override { link_->Take(is_client_, Piece{{}, "", true, reset}); }

   private:
    Link* link_;
    bool is_client_;
  };

  void Take(bool from_client, Piece piece) {
    piece.due = proxy_->loop_->Now();
    if (proxy_->fault_ == LinkFault::kDelay) piece.due += proxy_->delay_;
    std::deque<Piece>& pieces = from_client ? to_server_ : to_client_;
    // Data must not overtake earlier data that was delayed.
    if (!pieces.empty()) piece.due = std::max(piece.due, pieces.back().due);
    pieces.push_back(std::move(piece));
    Pump();
  }

  std::function<void()> Alive(std::function<void()> run) {
    return [alive = std::weak_ptr<bool>(alive_), run = std::move(run)] {
      if (!alive.expired()) run();
    };
  }

  FaultProxy* proxy_;
  Side client_side_;
  Side server_side_;
  gateway::TcpConnection client_;
  gateway::TcpConnection server_;
  std::deque<Piece> to_server_;
  std::deque<Piece> to_client_;
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
    socket_->listen(kBacklog);
    socket_->setBlocking(false);
    loop_->Add(*socket_, this, false);
  } catch (const Poco::Exception& error) {
    return Error{ErrorKind::kConflict, "proxy cannot listen on " + address,
                 "end the process that uses the address"};
  }
  return OkStatus();
}

bool FaultProxy::Holds(bool to_server) const {
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
      link->Pump();
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

void FaultProxy::Drop(Link* link) {
  const auto found = links_.find(link);
  if (found == links_.end()) return;
  // Destroyed later: one of the link's own functions may be running.
  std::shared_ptr<Link> last(std::move(found->second));
  links_.erase(found);
  loop_->Defer([last] {});
}

}  // namespace shallot::soak
