// Growth of CPU time, memory and encoded size with the load, for docs/CAPACITY.md. Each slope is
// that of a least-squares line through at least four points, which are printed as well.
#include <malloc.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "bench/bench_report.h"
#include "drivers/proto_codec.h"
#include "drivers/zmq_hub.h"
#include "servers/config_head.h"
#include "servers/config_replica.h"
#include "servers/placement_codec.h"
#include "tests/fake_agent_env.h"
#include "tests/router_fixture.h"

namespace shallot::bench {
namespace {

/// One measured point: a size and the cost at that size.
struct Point {
  template <class Size, class Cost>
  Point(Size size_in, Cost cost_in)
      : size(static_cast<double>(size_in)), cost(static_cast<double>(cost_in)) {}

  double size;
  double cost;
};

double CpuSeconds() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

double MeasureCpuSeconds(const std::function<void()>& work) {
  const double begin = CpuSeconds();
  work();
  return CpuSeconds() - begin;
}

/// Prints the points, and the slope and intercept of the least-squares line through them.
void PrintSlope(const std::string& name, const std::string& unit,
                const std::vector<Point>& points) {
  double x = 0;
  double y = 0;
  for (const Point& point : points) {
    x += point.size / static_cast<double>(points.size());
    y += point.cost / static_cast<double>(points.size());
    std::fprintf(stderr, "  %s at %.0f: %.6g %s\n", name.c_str(), point.size, point.cost,
                 unit.c_str());
  }
  double xx = 0;
  double xy = 0;
  for (const Point& point : points) {
    xx += (point.size - x) * (point.size - x);
    xy += (point.size - x) * (point.cost - y);
  }
  Print({"slope." + name, xy / xx, unit, 0});
  Print({"intercept." + name, y - xy / xx * x, unit, 0});
}

std::string EncodeToWire(const Message& message) { return ValueOf(EncodeMessage(message)); }

std::string MakeConfigText(int entries) {
  constexpr int kModels = 100;
  std::string text = "[fleet]\nname = slopes\nshards = 100\n[models gpu]\n";
  for (int i = 0; i < kModels; ++i) text += "model-" + std::to_string(i) + " = 1 16000 6000\n";
  for (int model = 0; model < kModels; ++model) {
    text += "[adapters model-" + std::to_string(model) + "]\n";
    for (int i = model; i < entries - kModels; i += kModels) {
      text += "adapter-" + std::to_string(i) + " = 1 200\n";
    }
  }
  return text;
}

ConfigPush MakeConfigPush(const std::string& snapshot, uint64_t revision) {
  ConfigHead head;
  head.revision = ConfigRevision(revision);
  head.snapshot = ConfigRevision(1);
  for (uint64_t i = 2; i <= revision; ++i) {
    ConfigChange change;
    change.revision = ConfigRevision(i);
    change.id = "change-" + std::to_string(i);
    change.author = OperatorName("operator");
    change.time = "2026-12-04T06:00:00Z";
    change.reason = "raise the limit of one entry for a known peak";
    change.sections.push_back({"exception e" + std::to_string(i),
                               false,
                               {{"target", "entry adapter-" + std::to_string(i)},
                                {"reason", "peak"},
                                {"max_replicas", "3"}}});
    head.changes.push_back(change);
  }
  return {ConfigRevision(revision), FormatConfigHead(head), snapshot};
}

void MeasureConfigApply() {
  std::vector<Point> cpu;
  std::vector<Point> memory;
  std::vector<Point> change_cpu;
  std::vector<Point> text_bytes;
  for (const int entries : {2'500, 5'000, 10'000, 20'000}) {
    const std::string text = MakeConfigText(entries);
    InvariantMonitor invariants;
    const double before = HeapBytes();
    auto replica = std::make_unique<ConfigReplica>(&invariants);
    cpu.push_back({entries, MeasureCpuSeconds([&] { replica->Apply(MakeConfigPush(text, 1)); })});
    memory.push_back({entries, HeapBytes() - before});
    change_cpu.push_back(
        {entries, MeasureCpuSeconds([&] { replica->Apply(MakeConfigPush("", 2)); })});
    text_bytes.push_back({entries, text.size()});
    if (replica->revision() != ConfigRevision(2)) std::fprintf(stderr, "change was not applied\n");
  }
  PrintSlope("config_first_apply_cpu_per_entry", "s", cpu);
  PrintSlope("config_memory_per_entry", "B", memory);
  PrintSlope("config_change_cpu_per_entry", "s", change_cpu);
  PrintSlope("config_snapshot_per_entry", "B", text_bytes);
}

void MeasureConfigPushSize() {
  std::vector<Point> bytes;
  for (const uint64_t changes : {1, 16, 32, 64}) {
    const ConfigPush push = MakeConfigPush("", changes + 1);
    bytes.push_back({changes, EncodeToWire(push).size()});
  }
  PrintSlope("config_push_per_change", "B", bytes);
}

void MeasurePlacement() {
  std::vector<Point> bytes;
  std::vector<Point> cpu;
  for (const int slots : {100, 200, 400, 800}) {
    ShardPlacement placement;
    for (int i = 0; i < slots; ++i) {
      placement.slots.push_back({EntryId("adapter-" + std::to_string(i)),
                                 RunnerId("runner-" + std::to_string(i % 2000)), Generation(3),
                                 SlotState::kActive});
    }
    const std::string text = FormatSlots(placement.slots);
    bytes.push_back({slots, text.size()});
    cpu.push_back({slots, MeasureCpuSeconds([&] { ParseSlots(text); })});
  }
  PrintSlope("placement_bytes_per_slot", "B", bytes);
  PrintSlope("placement_decode_cpu_per_slot", "s", cpu);
}

void MeasureHeartbeats() {
  std::vector<Point> bytes;
  for (const int loaded : {5, 20, 40, 80}) {
    Heartbeat beat;
    for (int i = 0; i < loaded; ++i) beat.load.loaded.emplace_back("adapter-" + std::to_string(i));
    bytes.push_back({loaded, EncodeToWire(beat).size()});
  }
  PrintSlope("heartbeat_per_loaded_entry", "B", bytes);
  constexpr int kSimulatedSeconds = 20;
  std::vector<Point> cpu;
  std::vector<Point> memory;
  for (const int runners : {10, 20, 40, 80}) {
    const double before = HeapBytes();
    auto fixture = std::make_unique<RouterFixture>(runners);
    fixture->load.loaded.clear();
    for (int i = 0; i < 40; ++i) {
      fixture->load.loaded.emplace_back("adapter-" + std::to_string(i));
    }
    fixture->Start();
    fixture->Run(Millis(1000));
    fixture->link.Take();
    memory.push_back({runners, HeapBytes() - before});
    const double spent = MeasureCpuSeconds([&] {
      for (int second = 0; second < kSimulatedSeconds; ++second) {
        fixture->Run(Millis(1000));
        fixture->link.Take();
      }
    });
    cpu.push_back({runners, spent / kSimulatedSeconds});
  }
  PrintSlope("router_cpu_per_connected_runner_second", "s", cpu);
  PrintSlope("router_memory_per_connected_runner", "B", memory);
}

void MeasureRouterCalls() {
  std::vector<Point> cpu;
  for (const int calls : {2'000, 4'000, 8'000, 16'000}) {
    RouterFixture fixture(4);
    fixture.Start();
    const double spent = MeasureCpuSeconds([&] {
      for (int i = 0; i < calls; ++i) {
        fixture.link.Take();
        const auto sink = fixture.Submit(RouterFixture::ModelRequest());
        const auto start = fixture.LastStart();
        fixture.Frame(start, 0, "answer");
        fixture.Answer(start, OutcomeKind::kCompleted, Reason::kNone, 6);
        if (sink->end.kind != OutcomeKind::kCompleted) std::fprintf(stderr, "call failed\n");
      }
    });
    cpu.push_back({calls, spent});
  }
  PrintSlope("router_cpu_per_call", "s", cpu);
}

void MeasureRouterFrames() {
  std::vector<Point> cpu;
  std::vector<Point> bytes;
  const std::string chunk(180, 'x');
  for (const int frames : {1'000, 2'000, 4'000, 8'000}) {
    RouterFixture fixture(1);
    fixture.Start();
    const auto sink = fixture.Submit(RouterFixture::ModelRequest(true));
    const auto start = fixture.LastStart();
    double wire = 0;
    const double spent = MeasureCpuSeconds([&] {
      for (int i = 0; i < frames; ++i) {
        const CallFrame frame{start.second.id, start.second.attempt, i * chunk.size(), chunk};
        const std::string encoded = EncodeToWire(frame);
        wire += static_cast<double>(encoded.size());
        const Result<Message> decoded = DecodeMessage(encoded);
        fixture.core.OnMessage(start.first, ValueOf(decoded));
      }
    });
    cpu.push_back({frames, spent});
    bytes.push_back({frames, wire});
  }
  PrintSlope("router_cpu_per_frame_with_codec", "s", cpu);
  PrintSlope("wire_bytes_per_frame", "B", bytes);
}

void MeasureAgent() {
  std::vector<Point> cpu;
  for (const int calls : {2'000, 4'000, 8'000, 16'000}) {
    agent_test::AgentFixture fixture;
    fixture.Begin();
    fixture.Grant({"m1"});
    fixture.Start(fixture.MakeCall("warm", "m1"));
    fixture.GivePermit();
    fixture.Run(Millis(100));
    fixture.engine.calls.Complete(CallId("warm"));
    const double spent = MeasureCpuSeconds([&] {
      for (int i = 0; i < calls; ++i) {
        const std::string id = std::to_string(i);
        fixture.Start(fixture.MakeCall(id, "m1"));
        fixture.engine.calls.Complete(CallId(id));
        fixture.agent->OnMessage(agent_test::kRouter, CallAck{CallId(id), Attempt(1)});
        fixture.link.sent.clear();
      }
    });
    cpu.push_back({calls, spent});
  }
  PrintSlope("agent_cpu_per_call", "s", cpu);
  std::vector<Point> idle;
  constexpr int kSimulatedSeconds = 10;
  for (const int routers : {2, 4, 8, 16}) {
    agent_test::AgentFixture fixture;
    fixture.Begin();
    std::vector<ConnectionId> peers;
    for (int i = 1; i <= routers; ++i) {
      peers.emplace_back(static_cast<uint64_t>(i));
      fixture.ConnectRouter(peers.back());
    }
    const double spent = MeasureCpuSeconds([&] {
      for (int i = 0; i < kSimulatedSeconds * 50; ++i) {
        fixture.clock.Advance(Millis(20));
        if (i % 25 == 0) {
          for (const ConnectionId router : peers) fixture.agent->OnMessage(router, Heartbeat{});
        }
        fixture.agent->OnTick();
        fixture.link.sent.clear();
      }
    });
    idle.push_back({routers, spent / kSimulatedSeconds});
  }
  PrintSlope("agent_cpu_per_connected_router_second", "s", idle);
}

/// Resident memory of this process in bytes.
double ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  double total = 0;
  double resident = 0;
  file >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Answers the first Hello of each connection with a Hello, as the cores do.
class HelloListener final : public HubListener {
 public:
  explicit HelloListener(ZmqHub* hub) : hub_(hub) {}
  void OnMessage(ConnectionId connection, const Message& message) override {
    if (!std::holds_alternative<Hello>(message)) return;
    hellos_.fetch_add(1);
    if (connections_.insert(connection).second) hub_->Send(connection, Hello{});
  }
  void OnDisconnect(ConnectionId /*connection*/) override {}
  void OnTick() override {}
  int hellos() const { return hellos_.load(); }

 private:
  ZmqHub* hub_;
  std::set<ConnectionId> connections_;
  std::atomic<int> hellos_{0};
};

/// Measures the memory of both ends of a connection; both are in this process.
void MeasureConnections() {
  std::vector<Point> memory;
  for (const int count : {50, 100, 200, 400}) {
    HubOptions listening;
    listening.listen_address = "127.0.0.1:0";
    ZmqHub server(listening);
    ZmqHub client{HubOptions()};
    if (!IsOk(server.Open()) || !IsOk(client.Open())) return;
    HelloListener server_listener(&server);
    HelloListener client_listener(&client);
    std::thread server_thread([&] { server.Run(&server_listener); });
    std::thread client_thread([&] { client.Run(&client_listener); });
    malloc_trim(0);
    const double before = ResidentBytes();
    const std::string address = "127.0.0.1:" + std::to_string(server.port());
    client.ring().PostCompletion([&] {
      for (int i = 0; i < count; ++i) client.Send(client.Connect(address), Hello{});
    });
    for (int i = 0; i < 500 && client_listener.hellos() < count; ++i) {
      std::this_thread::sleep_for(Millis(10));
    }
    if (client_listener.hellos() < count) std::fprintf(stderr, "not all connections opened\n");
    memory.push_back({count, ResidentBytes() - before});
    client.Stop();
    server.Stop();
    client_thread.join();
    server_thread.join();
  }
  PrintSlope("memory_per_connection_both_ends", "B", memory);
}

}  // namespace
}  // namespace shallot::bench

int main() {
  // Runs first: reuse of memory that other measurements freed would hide the growth.
  shallot::bench::MeasureConnections();
  shallot::bench::MeasureConfigApply();
  shallot::bench::MeasureConfigPushSize();
  shallot::bench::MeasurePlacement();
  shallot::bench::MeasureHeartbeats();
  shallot::bench::MeasureRouterCalls();
  shallot::bench::MeasureRouterFrames();
  shallot::bench::MeasureAgent();
  return 0;
}
