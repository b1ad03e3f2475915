#ifndef TESTS_ROUTER_SIM_H_
#define TESTS_ROUTER_SIM_H_

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "tests/router_fixture.h"

namespace shallot {
inline namespace router_test {

/// Faults of the connections of a simulated fleet; probabilities are for each message.
struct SimFaults {
  double loss = 0;
  double duplication = 0;
  /// Upper bound of the random delay of a message, which also reorders messages.
  Millis jitter{0};
};

/// Simulates simple agents for one or more router cores. Each agent runs calls first in, first out
/// and supports tombstones of refused and cancelled calls, resumes and restarts.
class RouterSim {
 public:
  /// Size and service times of the simulated fleet.
  struct Limits {
    int agents = 2;
    uint64_t concurrency = 4;
    /// Service time of a call; the mean if `exponential`.
    Millis service{100};
    /// Draws service times from an exponential distribution instead of using a constant.
    bool exponential = false;
    uint64_t seed = 1;
    int routers = 1;
  };

  RouterSim(Limits limits, SimFaults faults)
      : f(limits.agents), limits_(limits), faults_(faults), random_(limits.seed) {
    agents_.resize(static_cast<size_t>(limits.agents));
    routers_.push_back(&f);
    for (int i = 1; i < limits.routers; ++i) {
      extra_routers_.push_back(
          std::make_unique<RouterFixture>(limits.agents, 2048, "router-" + std::to_string(i)));
      routers_.push_back(extra_routers_.back().get());
    }
    for (RouterFixture* router : routers_) router->List();
  }

  /// Advances the simulation by 10 ms.
  void Step() {
    for (RouterFixture* router : routers_) {
      router->clock.Advance(Millis(10));
      router->core.OnTick();
    }
    for (size_t r = 0; r < routers_.size(); ++r) {
      for (const FakeLink::Sent& sent : routers_[r]->link.Take()) {
        Receive({r, sent.connection}, sent.message);
      }
    }
    for (size_t n = 0; n < agents_.size(); ++n) StepAgent(n);
    Deliver();
  }
  void Run(Millis time) {
    for (Millis done{0}; done < time; done += Millis(10)) Step();
  }

  RouterFixture& router(size_t r) { return *routers_.at(r); }
  /// Restarts an agent, which loses all its calls. If `notify_router`, the first router sees its
  /// connection close.
  void Restart(size_t n, bool notify_router) {
    Agent& agent = agents_[n];
    ++agent.incarnation;
    agent.jobs.clear();
    agent.tombstones.clear();
    agent.connections.clear();
    if (notify_router) f.core.OnDisconnect(f.ConnectionTo(static_cast<int>(n)));
  }
  /// Drops all further messages on the current connection of the agent, in one or both directions.
  void DropMessages(size_t n, bool to_agent, bool to_router) {
    const Connection connection(0, f.ConnectionTo(static_cast<int>(n)));
    if (to_agent) dropped_to_agent_.insert(connection);
    if (to_router) dropped_to_router_.insert(connection);
  }
  /// Replaces the instance of the runner by one with another id.
  void Replace(size_t n) {
    Restart(n, false);
    f.instances[n].id = InstanceId(f.instances[n].id.value() + "x");
    f.List();
  }
  void SetDraining(size_t n, bool draining) { agents_[n].draining = draining; }

  /// Number of times that an order with this key was started, whether or not it completed.
  std::map<IdempotencyKey, int> runs;
  /// Attempts that were started, whatever their outcome.
  std::set<std::pair<CallId, Attempt>> started;
  /// Fixture of the first router. The agents and connections use its clock and instances.
  RouterFixture f;

  /// Answer to a call; differs between attempts and agents, as engines are not deterministic.
  static std::string AnswerOf(const Call& call, size_t agent) {
    const std::string tag = "<" + call.id.value() + "/" + std::to_string(call.attempt.value()) +
                            "/" + std::to_string(agent) + ">";
    std::string answer;
    for (int i = 0; i < 8; ++i) answer += tag;
    return answer;
  }

 private:
  /// A connection of one of the routers.
  using Connection = std::pair<size_t, ConnectionId>;
  struct Job {
    Call call;
    Connection connection;
    bool running = false;
    bool cancelled = false;
    SteadyTime done_at;
    bool done = false;
    Outcome outcome;
    std::string answer;
  };
  struct Agent {
    uint64_t incarnation = 1;
    bool draining = false;
    std::vector<Job> jobs;
    std::set<std::pair<CallId, Attempt>> tombstones;
    std::set<Connection> connections;
    SteadyTime next_heartbeat;
  };
  struct PendingMessage {
    Connection connection;
    Message message;
  };

  void ToRouter(const Connection& connection, const Message& message, bool faulty) {
    if (dropped_to_router_.contains(connection)) return;
    if (faulty && random_.Unit() < faults_.loss) return;
    const int copies = faulty && random_.Unit() < faults_.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Duration delay{0};
      if (faulty && faults_.jitter > Millis(0)) {
        delay = Millis(random_.Below(static_cast<uint64_t>(faults_.jitter.count())));
      }
      pending_messages_.emplace(f.clock.SteadyNow() + delay, PendingMessage{connection, message});
    }
  }

  void Deliver() {
    while (!pending_messages_.empty() && pending_messages_.begin()->first <= f.clock.SteadyNow()) {
      const PendingMessage pending = pending_messages_.begin()->second;
      pending_messages_.erase(pending_messages_.begin());
      const auto& [r, connection] = pending.connection;
      if (!routers_[r]->link.IsOpen(connection)) continue;
      routers_[r]->core.OnMessage(connection, pending.message);
    }
  }

  void Receive(const Connection& connection, const Message& message) {
    if (dropped_to_agent_.contains(connection)) return;
    const std::string& address = routers_[connection.first]->link.AddressOf(connection.second);
    const auto n = static_cast<size_t>(std::stoi(address.substr(address.find(':') + 1)));
    Agent& agent = agents_[n];
    if (std::holds_alternative<Hello>(message)) {
      agent.connections.insert(connection);
      Hello hello;
      hello.sender = f.instances[n].id;
      hello.incarnation = Incarnation(agent.incarnation);
      hello.role = PeerRole::kAgent;
      hello.runner = RouterFixture::Runner(static_cast<int>(n));
      hello.draining = agent.draining;
      ToRouter(connection, hello, false);
      agent.next_heartbeat = f.clock.SteadyNow();
      return;
    }
    if (!agent.connections.contains(connection)) return;
    if (const auto* start = std::get_if<CallStart>(&message)) OnStart(n, connection, start->call);
    if (const auto* cancel = std::get_if<CallCancel>(&message)) OnCancel(n, connection, *cancel);
    if (const auto* resume = std::get_if<CallResume>(&message)) OnResume(n, connection, *resume);
    if (const auto* ack = std::get_if<CallAck>(&message)) {
      std::erase_if(agent.jobs, [&](const Job& job) {
        return job.call.id == ack->call && job.call.attempt == ack->attempt && job.done;
      });
    }
  }

  void SendOutcome(const Connection& connection, const CallId& call, Attempt attempt,
                   OutcomeKind kind, Reason reason) {
    Outcome outcome;
    outcome.kind = kind;
    outcome.reason = reason;
    ToRouter(connection, CallOutcome{call, attempt, outcome}, true);
  }

  Job* Find(Agent* agent, const CallId& call, Attempt attempt) {
    for (Job& job : agent->jobs) {
      if (job.call.id == call && job.call.attempt == attempt) return &job;
    }
    return nullptr;
  }

  void OnStart(size_t n, const Connection& connection, const Call& call) {
    Agent& agent = agents_[n];
    if (agent.draining || agent.tombstones.contains({call.id, call.attempt})) {
      agent.tombstones.insert({call.id, call.attempt});
      SendOutcome(connection, call.id, call.attempt, OutcomeKind::kNotRun, Reason::kDraining);
      return;
    }
    Job job;
    job.call = call;
    job.connection = connection;
    agent.jobs.push_back(job);
  }

  void OnCancel(size_t n, const Connection& connection, const CallCancel& cancel) {
    Agent& agent = agents_[n];
    Job* job = Find(&agent, cancel.call, cancel.attempt);
    if (job == nullptr) {
      SendOutcome(connection, cancel.call, cancel.attempt,
                  agent.tombstones.contains({cancel.call, cancel.attempt}) ? OutcomeKind::kNotRun
                                                                           : OutcomeKind::kUnknown,
                  Reason::kCancelled);
      return;
    }
    if (job->done || (job->running && !job->call.repeatable)) return;
    const bool ran = job->running;
    agent.tombstones.insert({cancel.call, cancel.attempt});
    std::erase_if(agent.jobs, [&](const Job& each) { return &each == job; });
    if (ran) agent.tombstones.erase({cancel.call, cancel.attempt});
    SendOutcome(connection, cancel.call, cancel.attempt,
                ran ? OutcomeKind::kFailed : OutcomeKind::kNotRun, Reason::kCancelled);
  }

  void OnResume(size_t n, const Connection& connection, const CallResume& resume) {
    Agent& agent = agents_[n];
    Job* job = Find(&agent, resume.call, resume.attempt);
    if (job == nullptr) {
      const bool tombstone = agent.tombstones.contains({resume.call, resume.attempt});
      SendOutcome(connection, resume.call, resume.attempt,
                  tombstone ? OutcomeKind::kNotRun : OutcomeKind::kUnknown,
                  tombstone ? Reason::kDraining : Reason::kConnectionLost);
      return;
    }
    job->connection = connection;
    if (job->done) SendAnswer(*job, resume.offset);
  }

  void SendAnswer(const Job& job, uint64_t from) {
    for (uint64_t at = from; at < job.answer.size(); at += 32) {
      ToRouter(job.connection,
               CallFrame{job.call.id, job.call.attempt, at, job.answer.substr(at, 32)}, true);
    }
    ToRouter(job.connection, CallOutcome{job.call.id, job.call.attempt, job.outcome}, true);
  }

  void StepAgent(size_t n) {
    Agent& agent = agents_[n];
    const SteadyTime now = f.clock.SteadyNow();
    uint64_t running = 0;
    uint64_t queued = 0;
    for (Job& job : agent.jobs) {
      if (job.running && !job.done && now >= job.done_at) Finish(n, &job);
      if (job.running && !job.done) ++running;
    }
    for (Job& job : agent.jobs) {
      if (job.running) continue;
      if (running < limits_.concurrency) {
        Begin(&job);
        ++running;
      } else {
        ++queued;
      }
    }
    if (now < agent.next_heartbeat) return;
    agent.next_heartbeat = now + Millis(500);
    Heartbeat heartbeat;
    heartbeat.draining = agent.draining;
    heartbeat.load.running = running;
    heartbeat.load.queued = queued;
    heartbeat.load.concurrency = limits_.concurrency;
    heartbeat.load.mean_service = limits_.service;
    heartbeat.load.loaded = {EntryId("m")};
    for (const Connection& connection : agent.connections) ToRouter(connection, heartbeat, false);
  }

  void Begin(Job* job) {
    job->running = true;
    const double mean = static_cast<double>(limits_.service.count());
    const double service = limits_.exponential ? random_.Exponential(mean) : mean;
    job->done_at = f.clock.SteadyNow() + std::chrono::duration_cast<Duration>(
                                             std::chrono::duration<double, std::milli>(service));
    if (!job->call.repeatable) ++runs[job->call.idempotency_key];
    started.insert({job->call.id, job->call.attempt});
  }

  void Finish(size_t n, Job* job) {
    job->done = true;
    job->answer = AnswerOf(job->call, n);
    job->outcome.kind = OutcomeKind::kCompleted;
    job->outcome.http_status = 200;
    job->outcome.total_length = job->answer.size();
    SendAnswer(*job, 0);
  }

  Limits limits_;
  SimFaults faults_;
  Random random_;
  std::vector<std::unique_ptr<RouterFixture>> extra_routers_;
  std::vector<RouterFixture*> routers_;
  std::vector<Agent> agents_;
  std::set<Connection> dropped_to_agent_;
  std::set<Connection> dropped_to_router_;
  std::multimap<SteadyTime, PendingMessage> pending_messages_;
};

}  // namespace router_test
}  // namespace shallot

#endif  // TESTS_ROUTER_SIM_H_
