#ifndef TESTS_COMPOSED_NETWORK_H_
#define TESTS_COMPOSED_NETWORK_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/composed_process.h"

namespace shallot::composed {

/// In-memory connections between the processes of a test fleet. A message arrives within the step
/// in which it was sent, unless its connection is silent or its receiver is paused.
class Network {
 public:
  /// Directions in which a connection stays open and drops all messages.
  struct Silence {
    bool to_listener = false;
    bool to_dialer = false;
  };

  /// The link of a process that listens at `address`.
  std::unique_ptr<PeerLink> LinkOf(const std::string& address) {
    return std::make_unique<Link>(this, address);
  }
  void Attach(const std::string& address, Process* process) { processes_[address] = process; }
  /// Removes the process at the address. `noticed`: its connections break at once; otherwise the
  /// whole instance is gone and they go silent.
  void Detach(const std::string& address, bool noticed) {
    processes_.erase(address);
    if (!noticed) lost_hosts_.insert(address);
    for (auto& [id, connection] : connections_) {
      if (connection.dialer == address) connection.open = false;
      if (connection.listener == address && noticed) connection.open = false;
      const bool broken = noticed && connection.listener == address;
      if (broken && processes_.contains(connection.dialer)) broken_.push_back(id);
    }
    std::erase_if(queue_, [&](const QueuedMessage& queued) { return queued.to == address; });
  }
  /// All current connections drop messages in the given directions for the rest of their lifetime.
  void SilenceAll(Silence silence) {
    for (auto& [id, connection] : connections_) {
      connection.silence.to_listener |= silence.to_listener;
      connection.silence.to_dialer |= silence.to_dialer;
    }
  }
  /// Delivers messages, including those sent in response, until none can be delivered now.
  void Deliver() {
    ReportBroken();
    for (size_t rounds = 0; rounds < kMaxRounds && DeliverRound(); ++rounds) continue;
    std::erase_if(connections_, [](const auto& item) { return !item.second.open; });
  }

  /// When set, messages for which it returns true are dropped.
  std::function<bool(const Message&)> should_drop;
  /// When set, called with each message that is sent and the address of its sender.
  std::function<void(const std::string&, const Message&)> on_sent;

 private:
  // Far more rounds than any protocol step needs; bounds an endless exchange of two processes.
  static constexpr size_t kMaxRounds = 100;

  struct Connection {
    std::string dialer;
    std::string listener;
    Silence silence;
    bool open = true;
  };
  struct QueuedMessage {
    ConnectionId connection;
    std::string to;
    Message message;
  };

  class Link final : public PeerLink {
   public:
    Link(Network* network, std::string address) : network_(network), address_(std::move(address)) {}
    ConnectionId Connect(const std::string& address) override {
      return network_->Dial(address_, address);
    }
    void Close(ConnectionId connection) override { network_->Close(connection); }
    Status Send(ConnectionId connection, const Message& message) override {
      network_->Send(address_, connection, message);
      return OkStatus();
    }

   private:
    Network* network_;
    std::string address_;
  };

  ConnectionId Dial(const std::string& from, const std::string& to) {
    const ConnectionId id(++last_);
    connections_[id] = {from, to, {}, true};
    // Without a process at the port the connection is refused; a lost instance does not answer.
    if (!processes_.contains(to) && !lost_hosts_.contains(to)) broken_.push_back(id);
    return id;
  }
  void Close(ConnectionId id) {
    const auto found = connections_.find(id);
    if (found != connections_.end()) found->second.open = false;
  }
  void Send(const std::string& from, ConnectionId id, const Message& message) {
    if (on_sent) on_sent(from, message);
    const auto found = connections_.find(id);
    if (found == connections_.end() || !found->second.open) return;
    const Connection& connection = found->second;
    const bool to_listener = connection.dialer == from;
    if (to_listener ? connection.silence.to_listener : connection.silence.to_dialer) return;
    if (should_drop && should_drop(message)) return;
    queue_.push_back({id, to_listener ? connection.listener : connection.dialer, message});
  }
  void ReportBroken() {
    for (const ConnectionId id : std::exchange(broken_, {})) {
      const auto found = connections_.find(id);
      if (found == connections_.end()) continue;
      const auto dialer = processes_.find(found->second.dialer);
      if (dialer == processes_.end()) continue;
      if (dialer->second->gate.paused()) {
        broken_.push_back(id);
        continue;
      }
      dialer->second->OnDisconnect(id);
      Close(id);
    }
  }
  /// Removes and returns the messages that can be delivered. Those to a paused process stay queued,
  /// ahead of later ones.
  std::vector<QueuedMessage> TakeDeliverable() {
    std::vector<QueuedMessage> ready;
    for (QueuedMessage& queued : std::exchange(queue_, {})) {
      const auto receiver = processes_.find(queued.to);
      if (receiver == processes_.end()) continue;
      if (receiver->second->gate.paused()) {
        queue_.push_back(std::move(queued));
      } else {
        ready.push_back(std::move(queued));
      }
    }
    return ready;
  }
  bool DeliverRound() {
    const std::vector<QueuedMessage> ready = TakeDeliverable();
    for (const QueuedMessage& queued : ready) {
      const auto connection = connections_.find(queued.connection);
      if (connection == connections_.end() || !connection->second.open) continue;
      processes_.at(queued.to)->OnMessage(queued.connection, queued.message);
    }
    return !ready.empty();
  }

  uint64_t last_ = 0;
  std::map<std::string, Process*> processes_;
  std::set<std::string> lost_hosts_;
  std::map<ConnectionId, Connection> connections_;
  std::vector<ConnectionId> broken_;
  std::deque<QueuedMessage> queue_;
};

}  // namespace shallot::composed

#endif  // TESTS_COMPOSED_NETWORK_H_
