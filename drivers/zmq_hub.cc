#include "drivers/zmq_hub.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstring>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>
#include <zmq.hpp>

#include "core/log.h"
#include "drivers/proto_codec.h"
#include "drivers/zap_authenticator.h"

namespace shallot {
namespace {

// Most messages read from one socket, and most tasks run from the ring, before other sources are
// served.
constexpr int kMaxBatch = 64;
// Identities of closed incoming connections that are kept so that late messages are dropped.
constexpr size_t kMaxClosedIdentities = 4096;
constexpr int kMaxSockets = 8192;

// Kind of a descriptor in the epoll set, stored in the lowest two bits of the event data; the other
// bits hold the connection id.
enum EventSource : uint64_t { kWakeSource, kRouterSource, kDealerSource, kMonitorSource };
constexpr int kMaxEvents = 64;

/// An outgoing connection: a DEALER socket and the monitor that reports disconnection.
struct Outgoing {
  zmq::socket_t socket;
  zmq::socket_t monitor;
};

uint64_t EventData(ConnectionId connection, EventSource source) {
  return (connection.value() << 2U) | source;
}

std::string FrameText(const zmq::message_t& frame) {
  return {static_cast<const char*>(frame.data()), frame.size()};
}

}  // namespace

struct ZmqHub::State {
  explicit State(HubOptions given)
      : options(std::move(given)),
        wake_fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
        epoll_fd(epoll_create1(EPOLL_CLOEXEC)),
        ring(options.ring_capacity, [this] { Wake(); }) {
    context.set(zmq::ctxopt::max_sockets, kMaxSockets);
    WatchFd(wake_fd, EventData(ConnectionId(0), kWakeSource));
  }
  ~State() {
    ::close(epoll_fd);
    ::close(wake_fd);
  }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  void Wake() const {
    const uint64_t one = 1;
    // Fails only when the eventfd counter is at its maximum; the wake-up is then already pending.
    [[maybe_unused]] const ssize_t written = ::write(wake_fd, &one, sizeof(one));
  }
  void ClearWake() const {
    uint64_t count = 0;
    [[maybe_unused]] const ssize_t got = ::read(wake_fd, &count, sizeof(count));
  }

  void WatchFd(int fd, uint64_t data) const {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = data;
    epoll_ctl(epoll_fd, EPOLL_CTL_ADD, fd, &event);
  }
  void WatchSocket(zmq::socket_t* socket, uint64_t data) const {
    WatchFd(socket->get(zmq::sockopt::fd), data);
  }
  /// Closes an outgoing connection; returns false when there is none. ZeroMQ closes the descriptors
  /// later and signals them until then, so they are removed from the epoll set first.
  bool RemoveOutgoing(ConnectionId connection) {
    const auto found = outgoing.find(connection);
    if (found == outgoing.end()) return false;
    for (zmq::socket_t* socket : {&found->second.socket, &found->second.monitor}) {
      epoll_ctl(epoll_fd, EPOLL_CTL_DEL, socket->get(zmq::sockopt::fd), nullptr);
    }
    outgoing.erase(found);
    return true;
  }

  void SetCommonOptions(zmq::socket_t* socket) const;
  void SetServerKeys(zmq::socket_t* socket);
  void SetClientKeys(zmq::socket_t* socket) const;
  Outgoing MakeOutgoing(const std::string& address, uint64_t id);

  ConnectionId IncomingId(const std::string& identity);
  Status SendIncoming(ConnectionId connection, const std::string& identity,
                      const std::string& bytes);
  void CloseIncoming(ConnectionId connection);

  void RunOnce(HubListener* listener);
  void Dispatch(uint64_t data, HubListener* listener);
  int PollTimeout() const;
  void ReceiveIncoming(HubListener* listener);
  void ReceiveOutgoing(ConnectionId connection, HubListener* listener);
  void ReadMonitor(ConnectionId connection);
  void Deliver(ConnectionId connection, const zmq::message_t& frame, HubListener* listener);
  void ReportBroken(HubListener* listener);

  HubOptions options;
  int wake_fd;
  int epoll_fd;
  TaskRing ring;
  zmq::context_t context{1};
  /// Checks the keys of incoming connections; null without keys. ZeroMQ accepts every key while no
  /// ZAP handler is bound, so this starts before the router socket and outlives it.
  std::unique_ptr<ZapAuthenticator> authenticator;
  zmq::socket_t router;
  uint64_t last_id = 0;
  std::unordered_map<ConnectionId, Outgoing> outgoing;
  std::unordered_map<ConnectionId, std::string> incoming;
  std::unordered_map<std::string, ConnectionId> connection_ids;
  std::unordered_set<std::string> closed_identities;
  std::deque<std::string> closed_identity_order;
  /// Broken connections, reported at the end of an iteration and not within calls from the core.
  std::vector<ConnectionId> broken;
  /// Sockets to read before the next wait. A send may consume the signal of the socket's
  /// descriptor for messages that have arrived, and a full batch leaves messages unread.
  std::unordered_set<uint64_t> unread;
  std::atomic<bool> stopping{false};
  const SystemClock clock{};
  SteadyTime next_tick{};
};

void ZmqHub::State::SetCommonOptions(zmq::socket_t* socket) const {
  socket->set(zmq::sockopt::linger, 0);
  socket->set(zmq::sockopt::sndhwm, options.high_water_mark);
  socket->set(zmq::sockopt::rcvhwm, options.high_water_mark);
  socket->set(zmq::sockopt::maxmsgsize, static_cast<int64_t>(kMaxMessageBytes));
  // The cores send their own heartbeats.
  socket->set(zmq::sockopt::heartbeat_ivl, 0);
}

void ZmqHub::State::SetServerKeys(zmq::socket_t* socket) {
  if (options.keys.server_secret.empty()) return;
  if (!authenticator) {
    authenticator = std::make_unique<ZapAuthenticator>(&context, options.keys.allowed_clients);
  }
  socket->set(zmq::sockopt::zap_domain, "shallot");
  socket->set(zmq::sockopt::curve_server, true);
  socket->set(zmq::sockopt::curve_secretkey, options.keys.server_secret);
}

void ZmqHub::State::SetClientKeys(zmq::socket_t* socket) const {
  if (options.keys.server_public.empty()) return;
  socket->set(zmq::sockopt::curve_serverkey, options.keys.server_public);
  socket->set(zmq::sockopt::curve_publickey, options.keys.client_public);
  socket->set(zmq::sockopt::curve_secretkey, options.keys.client_secret);
}

Outgoing ZmqHub::State::MakeOutgoing(const std::string& address, uint64_t id) {
  Outgoing made{zmq::socket_t(context, zmq::socket_type::dealer),
                zmq::socket_t(context, zmq::socket_type::pair)};
  SetCommonOptions(&made.socket);
  SetClientKeys(&made.socket);
  made.socket.set(zmq::sockopt::reconnect_ivl, -1);
  made.socket.set(zmq::sockopt::connect_timeout, 2000);
  const std::string endpoint = "inproc://monitor-" + std::to_string(id);
  zmq_socket_monitor(made.socket.handle(), endpoint.c_str(),
                     ZMQ_EVENT_DISCONNECTED | ZMQ_EVENT_CLOSED |
                         ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH |
                         ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL);
  made.monitor.set(zmq::sockopt::linger, 0);
  made.monitor.connect(endpoint);
  made.socket.connect("tcp://" + address);
  return made;
}

ConnectionId ZmqHub::State::IncomingId(const std::string& identity) {
  const auto found = connection_ids.find(identity);
  if (found != connection_ids.end()) return found->second;
  if (closed_identities.contains(identity)) return ConnectionId(0);
  const ConnectionId id(++last_id);
  connection_ids.emplace(identity, id);
  incoming.emplace(id, identity);
  return id;
}

Status ZmqHub::State::SendIncoming(ConnectionId connection, const std::string& identity,
                                   const std::string& bytes) {
  unread.insert(EventData(ConnectionId(0), kRouterSource));
  try {
    if (!router.send(zmq::buffer(identity), zmq::send_flags::sndmore | zmq::send_flags::dontwait) ||
        !router.send(zmq::buffer(bytes), zmq::send_flags::dontwait)) {
      return Error{ErrorKind::kResourceExhausted, "send queue of the connection is full",
                   "send again later"};
    }
  } catch (const zmq::error_t& error) {
    if (error.num() == EHOSTUNREACH) broken.push_back(connection);
    return Error{ErrorKind::kUnavailable, std::string("cannot send: ") + error.what(),
                 "wait for the peer to connect again"};
  }
  return OkStatus();
}

void ZmqHub::State::CloseIncoming(ConnectionId connection) {
  const auto found = incoming.find(connection);
  if (found == incoming.end()) return;
  connection_ids.erase(found->second);
  closed_identities.insert(found->second);
  closed_identity_order.push_back(found->second);
  incoming.erase(found);
  if (closed_identity_order.size() <= kMaxClosedIdentities) return;
  closed_identities.erase(closed_identity_order.front());
  closed_identity_order.pop_front();
}

void ZmqHub::State::Deliver(ConnectionId connection, const zmq::message_t& frame,
                            HubListener* listener) {
  const Result<Message> message =
      DecodeMessage({static_cast<const char*>(frame.data()), frame.size()});
  if (!IsOk(message)) {
    LogWarning("hub", "connection " + std::to_string(connection.value()) +
                          " is closed: " + FormatError(ErrorOf(message)));
    broken.push_back(connection);
    return;
  }
  listener->OnMessage(connection, ValueOf(message));
}

void ZmqHub::State::ReceiveIncoming(HubListener* listener) {
  for (int count = 0; count < kMaxBatch; ++count) {
    zmq::message_t identity;
    if (!router.recv(identity, zmq::recv_flags::dontwait)) return;
    zmq::message_t frame;
    bool whole = identity.more() && router.recv(frame, zmq::recv_flags::none).has_value();
    while (frame.more()) {
      // A valid message has two frames; the rest of a longer one is read and dropped.
      whole = false;
      if (!router.recv(frame, zmq::recv_flags::none)) break;
    }
    const ConnectionId id = IncomingId(FrameText(identity));
    if (id.value() == 0) continue;
    if (whole) Deliver(id, frame, listener);
  }
  unread.insert(EventData(ConnectionId(0), kRouterSource));
}

void ZmqHub::State::ReceiveOutgoing(ConnectionId connection, HubListener* listener) {
  for (int count = 0; count < kMaxBatch; ++count) {
    // The core may close the connection while it handles a message.
    const auto found = outgoing.find(connection);
    if (found == outgoing.end()) return;
    zmq::message_t frame;
    if (!found->second.socket.recv(frame, zmq::recv_flags::dontwait)) return;
    Deliver(connection, frame, listener);
  }
  unread.insert(EventData(connection, kDealerSource));
}

void ZmqHub::State::ReadMonitor(ConnectionId connection) {
  const auto found = outgoing.find(connection);
  if (found == outgoing.end()) return;
  zmq::message_t event;
  if (!found->second.monitor.recv(event, zmq::recv_flags::dontwait)) return;
  // Every event that the monitor is subscribed to ends the connection.
  broken.push_back(connection);
}

void ZmqHub::State::ReportBroken(HubListener* listener) {
  std::vector<ConnectionId> batch;
  batch.swap(broken);
  for (const ConnectionId connection : batch) {
    const bool known = RemoveOutgoing(connection) || incoming.contains(connection);
    CloseIncoming(connection);
    if (known) listener->OnDisconnect(connection);
  }
}

int ZmqHub::State::PollTimeout() const {
  if (!unread.empty() || !broken.empty()) return 0;
  const auto remaining = std::chrono::ceil<Millis>(next_tick - clock.SteadyNow());
  return static_cast<int>(std::max<int64_t>(remaining.count(), 0));
}

void ZmqHub::State::Dispatch(uint64_t data, HubListener* listener) {
  const ConnectionId connection(data >> 2U);
  switch (data & 3U) {
    case kWakeSource:
      ClearWake();
      return;
    case kRouterSource:
      ReceiveIncoming(listener);
      return;
    case kDealerSource:
      ReceiveOutgoing(connection, listener);
      return;
    default:
      ReadMonitor(connection);
  }
}

void ZmqHub::State::RunOnce(HubListener* listener) {
  std::unordered_set<uint64_t> pending;
  pending.swap(unread);
  for (const uint64_t data : pending) Dispatch(data, listener);
  std::array<epoll_event, kMaxEvents> events{};
  const int count = epoll_wait(epoll_fd, events.data(), kMaxEvents, PollTimeout());
  for (int i = 0; i < count; ++i) Dispatch(events[static_cast<size_t>(i)].data.u64, listener);
  // A full batch may leave tasks in the ring, for which no further wake-up is signalled.
  if (ring.RunPending(kMaxBatch) == kMaxBatch) Wake();
  if (clock.SteadyNow() >= next_tick) {
    next_tick = clock.SteadyNow() + options.tick;
    listener->OnTick();
  }
  ReportBroken(listener);
}

ZmqHub::ZmqHub(HubOptions options) : state_(std::make_unique<State>(std::move(options))) {}
ZmqHub::~ZmqHub() = default;

Status ZmqHub::Open() {
  if (state_->options.listen_address.empty()) return OkStatus();
  const std::string& address = state_->options.listen_address;
  try {
    state_->router = zmq::socket_t(state_->context, zmq::socket_type::router);
    state_->SetCommonOptions(&state_->router);
    state_->SetServerKeys(&state_->router);
    state_->router.set(zmq::sockopt::router_mandatory, true);
    state_->router.bind("tcp://" + address);
    state_->WatchSocket(&state_->router, EventData(ConnectionId(0), kRouterSource));
    state_->unread.insert(EventData(ConnectionId(0), kRouterSource));
  } catch (const zmq::error_t& error) {
    if (error.num() == EADDRINUSE) {
      return Error{ErrorKind::kConflict, "port " + address + " is in use by another process",
                   "stop the other process or choose another port"};
    }
    return Error{ErrorKind::kInvalidArgument, "cannot listen on " + address + ": " + error.what(),
                 "check the address and the keys in the settings"};
  }
  return OkStatus();
}

int ZmqHub::port() const {
  if (!state_->router) return 0;
  const std::string endpoint = state_->router.get(zmq::sockopt::last_endpoint);
  return std::atoi(endpoint.substr(endpoint.rfind(':') + 1).c_str());
}

TaskRing& ZmqHub::ring() { return state_->ring; }

void ZmqHub::Run(HubListener* listener) {
  while (!state_->stopping.load(std::memory_order_acquire)) state_->RunOnce(listener);
}

void ZmqHub::Stop() {
  state_->stopping.store(true, std::memory_order_release);
  state_->Wake();
}

ConnectionId ZmqHub::Connect(const std::string& address) {
  const ConnectionId id(++state_->last_id);
  try {
    Outgoing made = state_->MakeOutgoing(address, id.value());
    state_->WatchSocket(&made.socket, EventData(id, kDealerSource));
    state_->WatchSocket(&made.monitor, EventData(id, kMonitorSource));
    state_->unread.insert(EventData(id, kDealerSource));
    state_->unread.insert(EventData(id, kMonitorSource));
    state_->outgoing.emplace(id, std::move(made));
  } catch (const zmq::error_t& error) {
    LogWarning("hub", "cannot connect to " + address + ": " + error.what());
  }
  return id;
}

void ZmqHub::Close(ConnectionId connection) {
  state_->RemoveOutgoing(connection);
  state_->CloseIncoming(connection);
}

Status ZmqHub::Send(ConnectionId connection, const Message& message) {
  const Result<std::string> bytes = EncodeMessage(message);
  if (!IsOk(bytes)) return ErrorOf(bytes);
  const auto incoming = state_->incoming.find(connection);
  if (incoming != state_->incoming.end()) {
    return state_->SendIncoming(connection, incoming->second, ValueOf(bytes));
  }
  const auto outgoing = state_->outgoing.find(connection);
  if (outgoing == state_->outgoing.end()) {
    return Error{ErrorKind::kNotFound, "the connection is closed", "open a new one"};
  }
  state_->unread.insert(EventData(connection, kDealerSource));
  if (!outgoing->second.socket.send(zmq::buffer(ValueOf(bytes)), zmq::send_flags::dontwait)) {
    return Error{ErrorKind::kResourceExhausted, "send queue of the connection is full",
                 "send again later"};
  }
  return OkStatus();
}

}  // namespace shallot
