#include "drivers/zmq_hub.h"

#include <doctest/doctest.h>
#include <zmq.h>

#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace shallot {
namespace {

/// Records the events of a hub and stops the hub on a disconnection or when a test calls Finish().
class Recorder final : public HubListener {
 public:
  Recorder(ZmqHub* hub, std::function<void(Recorder*, ConnectionId, const Message&)> on_message)
      : hub_(hub), on_message_(std::move(on_message)) {}
  void OnMessage(ConnectionId connection, const Message& message) override {
    messages.push_back(message);
    on_message_(this, connection, message);
  }
  void OnDisconnect(ConnectionId connection) override {
    disconnected.push_back(connection);
    hub_->Stop();
  }
  void OnTick() override {}
  void Finish() { hub_->Stop(); }

  std::vector<Message> messages;
  std::vector<ConnectionId> disconnected;

 private:
  ZmqHub* hub_;
  std::function<void(Recorder*, ConnectionId, const Message&)> on_message_;
};

HubOptions Listening() {
  HubOptions options;
  options.listen_address = "127.0.0.1:0";
  return options;
}

std::string AddressOf(const ZmqHub& hub) { return "127.0.0.1:" + std::to_string(hub.port()); }

// Guards against messages that are lost, reordered or sent back on another connection.
TEST_CASE("two hubs exchange messages in order") {
  constexpr uint64_t kMessages = 500;
  ZmqHub server(Listening());
  REQUIRE(IsOk(server.Open()));
  Recorder server_side(&server, [&](Recorder* self, ConnectionId from, const Message& message) {
    CHECK(IsOk(server.Send(from, message)));
    if (self->messages.size() == kMessages) self->Finish();
  });
  ZmqHub client{HubOptions{}};
  REQUIRE(IsOk(client.Open()));
  Recorder client_side(&client, [&](Recorder* self, ConnectionId, const Message&) {
    if (self->messages.size() == kMessages) self->Finish();
  });
  std::thread server_thread([&] { server.Run(&server_side); });
  const ConnectionId connection = client.Connect(AddressOf(server));
  for (uint64_t i = 0; i < kMessages; ++i) {
    CHECK(IsOk(client.Send(connection, ConfigPull{ConfigRevision(i)})));
  }
  client.Run(&client_side);
  server_thread.join();
  REQUIRE(client_side.messages.size() == kMessages);
  for (uint64_t i = 0; i < kMessages; ++i) {
    CHECK(client_side.messages[i] == Message(ConfigPull{ConfigRevision(i)}));
  }
}

// Guards invariant 1: two agents of one runner must not both accept work.
TEST_CASE("a second hub on the same port fails with a clear error") {
  ZmqHub first(Listening());
  REQUIRE(IsOk(first.Open()));
  HubOptions options;
  options.listen_address = AddressOf(first);
  ZmqHub second(options);
  const Status status = second.Open();
  REQUIRE_FALSE(IsOk(status));
  CHECK(ErrorOf(status).kind == ErrorKind::kConflict);
  CHECK(ErrorOf(status).message.find("in use by another process") != std::string::npos);
}

// Guards against a router that waits for heartbeats from an agent whose port refuses connections.
TEST_CASE("a refused connection is reported") {
  std::string address;
  {
    ZmqHub closed(Listening());
    REQUIRE(IsOk(closed.Open()));
    address = AddressOf(closed);
  }
  ZmqHub client{HubOptions{}};
  Recorder client_side(&client, [](Recorder*, ConnectionId, const Message&) {});
  const ConnectionId connection = client.Connect(address);
  client.Run(&client_side);
  CHECK(client_side.disconnected == std::vector<ConnectionId>{connection});
  CHECK_FALSE(IsOk(client.Send(connection, ConfigPull{})));
}

// Guards against a connection that is silently reopened to a restarted peer without a Hello.
TEST_CASE("a connection that breaks is reported and not reopened") {
  auto server = std::make_unique<ZmqHub>(Listening());
  REQUIRE(IsOk(server->Open()));
  ZmqHub client{HubOptions{}};
  Recorder client_side(&client, [](Recorder*, ConnectionId, const Message&) {});
  const ConnectionId connection = client.Connect(AddressOf(*server));
  REQUIRE(IsOk(client.Send(connection, ConfigPull{})));
  Recorder server_side(server.get(),
                       [](Recorder* self, ConnectionId, const Message&) { self->Finish(); });
  server->Run(&server_side);
  server.reset();
  client.Run(&client_side);
  CHECK(client_side.disconnected == std::vector<ConnectionId>{connection});
}

// Guards against late messages that reopen a connection which the core has closed.
TEST_CASE("nothing is received on a closed incoming connection") {
  ZmqHub server(Listening());
  REQUIRE(IsOk(server.Open()));
  ZmqHub client{HubOptions{}};
  const ConnectionId first = client.Connect(AddressOf(server));
  Recorder server_side(&server, [&](Recorder* self, ConnectionId from, const Message& message) {
    if (message.index() == Message(ConfigPull{}).index()) {
      server.Close(from);
      REQUIRE(IsOk(client.Send(first, CallAck{CallId("late"), Attempt(1)})));
      // Sent on a new connection after the late message; the loop ends when it arrives.
      const ConnectionId second = client.Connect(AddressOf(server));
      REQUIRE(IsOk(client.Send(second, DrainOrder{"end", Millis(0)})));
      return;
    }
    self->Finish();
  });
  REQUIRE(IsOk(client.Send(first, ConfigPull{})));
  server.Run(&server_side);
  REQUIRE(server_side.messages.size() == 2);
  CHECK(std::holds_alternative<DrainOrder>(server_side.messages[1]));
}

CurveKeys MakeKeys() {
  CurveKeys keys;
  const auto make = [](std::string* public_key, std::string* secret_key) {
    char public_text[41];
    char secret_text[41];
    REQUIRE(zmq_curve_keypair(public_text, secret_text) == 0);
    *public_key = public_text;
    *secret_key = secret_text;
  };
  make(&keys.server_public, &keys.server_secret);
  make(&keys.client_public, &keys.client_secret);
  keys.allowed_clients = {keys.client_public};
  return keys;
}

// Guards against an allow list that rejects the fleet's own processes.
TEST_CASE("the Hello of an allowed client arrives and is answered") {
  HubOptions options = Listening();
  options.keys = MakeKeys();
  ZmqHub server(options);
  REQUIRE(IsOk(server.Open()));
  options.listen_address.clear();
  ZmqHub client(options);
  const ConnectionId connection = client.Connect(AddressOf(server));
  Hello hello;
  hello.sender = InstanceId("r1");
  REQUIRE(IsOk(client.Send(connection, hello)));
  Recorder server_side(&server, [&](Recorder* self, ConnectionId from, const Message&) {
    CHECK(IsOk(server.Send(from, ConfigPull{ConfigRevision(3)})));
    self->Finish();
  });
  server.Run(&server_side);
  CHECK(server_side.messages == std::vector<Message>{hello});
  Recorder client_side(&client,
                       [](Recorder* self, ConnectionId, const Message&) { self->Finish(); });
  client.Run(&client_side);
  CHECK(client_side.messages == std::vector<Message>{ConfigPull{ConfigRevision(3)}});
}

struct KeyCase {
  const char* name;
  /// Returns the keys of the client, given those of the server.
  std::function<CurveKeys(const CurveKeys&)> client_keys;
  /// Empties the server's allow list if set.
  bool empty_allow_list = false;
};

CurveKeys WithOtherClient(const CurveKeys& server) {
  CurveKeys keys = MakeKeys();
  keys.server_public = server.server_public;
  return keys;
}

std::vector<KeyCase> RefusedClients() {
  return {
      {"plain connection", [](const CurveKeys&) { return CurveKeys{}; }},
      {"other server key", [](const CurveKeys&) { return MakeKeys(); }},
      {"unknown client key", WithOtherClient},
      {"public key of an allowed client without its secret",
       [](const CurveKeys& server) {
         CurveKeys keys = WithOtherClient(server);
         keys.client_public = server.client_public;
         return keys;
       }},
      {"empty allow list", [](const CurveKeys& server) { return server; }, true},
  };
}

// Guards against messages from a peer without an allowed key reaching the core.
TEST_CASE("a hub with keys refuses clients without an allowed key") {
  for (const KeyCase& test : RefusedClients()) {
    CAPTURE(test.name);
    HubOptions options = Listening();
    options.keys = MakeKeys();
    HubOptions client_options;
    client_options.keys = test.client_keys(options.keys);
    if (test.empty_allow_list) options.keys.allowed_clients.clear();
    ZmqHub server(options);
    REQUIRE(IsOk(server.Open()));
    ZmqHub client(client_options);
    Recorder client_side(&client, [](Recorder*, ConnectionId, const Message&) {});
    Recorder server_side(&server, [](Recorder*, ConnectionId, const Message&) {});
    std::thread server_thread([&] { server.Run(&server_side); });
    const ConnectionId connection = client.Connect(AddressOf(server));
    REQUIRE(IsOk(client.Send(connection, Hello{})));
    client.Run(&client_side);
    server.Stop();
    server_thread.join();
    CHECK(client_side.disconnected == std::vector<ConnectionId>{connection});
    CHECK(server_side.messages.empty());
  }
}

// Guards against a refused client that prevents allowed ones from connecting.
TEST_CASE("an allowed client connects after a refused one") {
  HubOptions options = Listening();
  options.keys = MakeKeys();
  ZmqHub server(options);
  REQUIRE(IsOk(server.Open()));
  HubOptions other;
  other.keys = WithOtherClient(options.keys);
  ZmqHub refused(other);
  Recorder refused_side(&refused, [](Recorder*, ConnectionId, const Message&) {});
  const ConnectionId connection = refused.Connect(AddressOf(server));
  REQUIRE(IsOk(refused.Send(connection, Hello{})));
  refused.Run(&refused_side);
  options.listen_address.clear();
  ZmqHub client(options);
  REQUIRE(IsOk(client.Send(client.Connect(AddressOf(server)), ConfigPull{ConfigRevision(5)})));
  Recorder server_side(&server,
                       [](Recorder* self, ConnectionId, const Message&) { self->Finish(); });
  server.Run(&server_side);
  CHECK(server_side.messages == std::vector<Message>{ConfigPull{ConfigRevision(5)}});
}

// Guards against lost wake-ups: each posted task must run although no socket has traffic.
TEST_CASE("tasks posted from another thread run on the hub's thread") {
  constexpr int kTasks = 1000;
  ZmqHub hub{HubOptions{}};
  Recorder listener(&hub, [](Recorder*, ConnectionId, const Message&) {});
  int ran = 0;
  std::thread poster([&] {
    for (int i = 0; i < kTasks; ++i) {
      hub.ring().PostCompletion([&] {
        if (++ran == kTasks) hub.Stop();
      });
    }
  });
  hub.Run(&listener);
  poster.join();
  CHECK(ran == kTasks);
}

}  // namespace
}  // namespace shallot
