#include "drivers/zap_authenticator.h"

#include <zmq.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <string_view>
#include <thread>
#include <unordered_set>
#include <zmq.hpp>

#include "core/log.h"

namespace shallot {
namespace {

constexpr size_t kKeyBytes = 32;
constexpr size_t kKeyTextLength = 40;
// Limit on logged rejected keys, so that a client which invents keys cannot fill the log.
constexpr size_t kMaxLoggedKeys = 64;
// Frames of a request: version, request id, domain, address, identity, mechanism, credentials.
constexpr size_t kRequestFrames = 7;
constexpr size_t kRequestId = 1;
constexpr size_t kAddress = 3;
constexpr size_t kMechanism = 5;
constexpr size_t kCredentials = 6;
// Frames of a reply: version, request id, status code, status text, user id, metadata.
constexpr size_t kReplyFrames = 6;

using Frames = std::vector<std::string>;

/// Receives all frames of the next request.
Frames ReceiveAll(zmq::socket_t* socket) {
  Frames frames;
  zmq::message_t frame;
  do {
    if (!socket->recv(frame)) break;
    frames.emplace_back(static_cast<const char*>(frame.data()), frame.size());
  } while (frame.more());
  return frames;
}

/// Returns the client's public key in Z85 encoding; empty if the request has no CURVE key.
std::string ClientKey(const Frames& request) {
  if (request.size() != kRequestFrames || request[kMechanism] != "CURVE") return "";
  const std::string& key = request[kCredentials];
  if (key.size() != kKeyBytes) return "";
  std::array<char, kKeyTextLength + 1> text{};
  // zmq_z85_encode() takes unsigned bytes.
  if (zmq_z85_encode(text.data(), reinterpret_cast<const uint8_t*>(key.data()), kKeyBytes) ==
      nullptr) {
    return "";
  }
  return text.data();
}

}  // namespace

struct ZapAuthenticator::State {
  State(zmq::context_t* context, const std::vector<std::string>& keys)
      : allowed(keys.begin(), keys.end()),
        handler(*context, zmq::socket_type::rep),
        stop_receiver(*context, zmq::socket_type::pair),
        stop_sender(*context, zmq::socket_type::pair) {
    const std::string stop_endpoint = "inproc://zap-stop";
    stop_receiver.bind(stop_endpoint);
    stop_sender.connect(stop_endpoint);
    stop_sender.set(zmq::sockopt::linger, 0);
    handler.set(zmq::sockopt::linger, 0);
    handler.bind("inproc://zeromq.zap.01");
  }

  void Run();
  void AnswerRequest();
  bool IsAllowed(const Frames& request);
  void LogRejection(const std::string& key, const std::string& address);

  std::unordered_set<std::string> allowed;
  std::unordered_set<std::string> logged;
  zmq::socket_t handler;
  zmq::socket_t stop_receiver;
  zmq::socket_t stop_sender;
  std::thread thread;
};

void ZapAuthenticator::State::Run() {
  while (true) {
    std::array<zmq_pollitem_t, 2> items{
        {{handler.handle(), 0, ZMQ_POLLIN, 0}, {stop_receiver.handle(), 0, ZMQ_POLLIN, 0}}};
    if (zmq_poll(items.data(), static_cast<int>(items.size()), -1) < 0) {
      // EINTR: a signal interrupted the wait. Any other error means that the context was
      // terminated.
      if (zmq_errno() == EINTR) continue;
      return;
    }
    if ((items[1].revents & ZMQ_POLLIN) != 0) return;
    if ((items[0].revents & ZMQ_POLLIN) != 0) AnswerRequest();
  }
}

void ZapAuthenticator::State::AnswerRequest() {
  const Frames request = ReceiveAll(&handler);
  const bool accepted = IsAllowed(request);
  const std::string id = request.size() > kRequestId ? request[kRequestId] : "";
  const std::array<std::string_view, kReplyFrames> reply = {
      "1.0", id, accepted ? "200" : "400", accepted ? "OK" : "key is not allowed", "", ""};
  for (size_t i = 0; i < reply.size(); ++i) {
    const auto flags = i + 1 < reply.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
    handler.send(zmq::buffer(reply[i]), flags);
  }
}

bool ZapAuthenticator::State::IsAllowed(const Frames& request) {
  const std::string key = ClientKey(request);
  if (!key.empty() && allowed.contains(key)) return true;
  LogRejection(key, request.size() > kAddress ? request[kAddress] : "unknown");
  return false;
}

void ZapAuthenticator::State::LogRejection(const std::string& key, const std::string& address) {
  if (logged.size() >= kMaxLoggedKeys || !logged.insert(key).second) return;
  LogWarning("hub", "client key " + (key.empty() ? "(none)" : key) + " from " + address +
                        " is refused; add it to allowed_clients if it belongs to the fleet");
}

ZapAuthenticator::ZapAuthenticator(zmq::context_t* context, const std::vector<std::string>& allowed)
    : state_(std::make_unique<State>(context, allowed)) {
  state_->thread = std::thread([this] { state_->Run(); });
}

ZapAuthenticator::~ZapAuthenticator() {
  // Uses the C function because zmq::socket_t::send() may throw, which a destructor must not.
  (void)zmq_send(state_->stop_sender.handle(), "stop", 4, 0);
  state_->thread.join();
}

bool IsCurveKey(const std::string& text) {
  std::array<uint8_t, kKeyBytes> bytes{};
  return text.size() == kKeyTextLength && zmq_z85_decode(bytes.data(), text.c_str()) != nullptr;
}

CurveKeyPair MakeCurveKeyPair() {
  std::array<char, kKeyTextLength + 1> public_key{};
  std::array<char, kKeyTextLength + 1> secret_key{};
  if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0) return {};
  return {public_key.data(), secret_key.data()};
}

}  // namespace shallot
