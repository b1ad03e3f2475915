#include "drivers/gateway/admin_handler.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "core/log.h"
#include "drivers/gateway/caller_connection.h"

namespace shallot::gateway {
namespace {

using Json = nlohmann::json;

/// Names come from other processes and may not be UTF-8.
std::string Dump(const Json& document) {
  return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

void AdminHandler::OnRequest(CallerConnection* connection, HttpMessage request) {
  const std::string path = request.head.Path();
  if (path == "/metrics") {
    connection->Answer(TextAnswer(200, "OK", "text/plain; version=0.0.4", Metrics()));
  } else if (path == "/quarantine") {
    connection->Answer(TextAnswer(200, "OK", "application/json", Quarantine()));
  } else if (path == "/limits") {
    connection->Answer(TextAnswer(200, "OK", "application/json", Limits()));
  } else if (path == "/runners") {
    connection->Answer(TextAnswer(200, "OK", "application/json", Runners()));
  } else if (path == "/store") {
    connection->Answer(TextAnswer(200, "OK", "application/json", Store()));
  } else if (path == "/quotas") {
    connection->Answer(TextAnswer(200, "OK", "application/json", Quotas()));
  } else {
    connection->Answer(TextAnswer(404, "Not Found", "text/plain", ""));
  }
}

std::string AdminHandler::Metrics() {
  const DaemonFigures figures = figures_();
  MetricsRegistry& metrics = *context_->metrics;
  const auto set = [&metrics](const std::string& name, auto value) {
    metrics.GetGauge(name).Set(static_cast<int64_t>(value));
  };
  set("caller_connections", figures.caller_connections);
  set("caller_connection_bytes", figures.caller_connection_bytes);
  set("calls_in_progress", figures.calls_in_progress);
  set("placement_leader", figures.leads_placement ? 1 : 0);
  set("runner_connections", context_->client.connections_open());
  set("runner_connections_opened", context_->client.connections_opened());
  set("traits_quarantined", context_->quarantine.Quarantined(context_->loop.Now()).size());
  set("runners_limited", context_->limits.Limited().size());
  set("runners_leaving", context_->view.Leaving().size());
  set("buffered_answer_bytes", context_->send_budget.held(BufferKind::kAnswer));
  set("buffered_body_bytes", context_->send_budget.held(BufferKind::kBody));
  set("buffer_limit_bytes", context_->send_budget.limits().total);
  set("runner_memory_held_tokens", context_->runner_memory.held_total());
  set("log_lines_dropped", DroppedLogLines());
  set("config_version", context_->routes ? context_->routes->version.value() : 0);
  if (context_->quotas.account().active()) {
    const BootTime now = context_->clock->BootNow();
    set("quota_members", context_->quotas.issuer().Members(now));
    set("quota_issuer_is_self", context_->quotas.current() == context_->settings.instance ? 1 : 0);
    for (const TeamName& team : context_->quotas.account().Teams()) {
      metrics.GetGauge("quota_balance{team=\"" + team.value() + "\"}")
          .Set(static_cast<int64_t>(context_->quotas.account().Balance(team, now)));
    }
  }
  for (const auto& [backend, summary] : context_->picker.Summarize(context_->loop.Now())) {
    const std::string& name = backend.value();
    set(fmt::format("runner_pace{{backend=\"{}\",of=\"mean\"}}", name), summary.mean_pace * 100);
    set(fmt::format("runner_pace{{backend=\"{}\",of=\"slowest\"}}", name),
        summary.slowest_pace * 100);
    set(fmt::format("runner_sends_spread{{backend=\"{}\"}}", name), summary.send_spread * 100);
  }
  return metrics.Render();
}

std::string AdminHandler::Quarantine() const {
  Json quarantined = Json::array();
  for (const QuarantinedTraits& entry : context_->quarantine.Quarantined(context_->loop.Now())) {
    quarantined.push_back({{"traits", DescribeTraits(entry.traits)},
                           {"remaining_ms", entry.remaining.count()},
                           {"relapses", entry.relapses}});
  }
  return Dump({{"gateway", context_->settings.instance.value()},
               {"crashes", context_->quarantine.crashes()},
               {"quarantined", quarantined}});
}

std::string AdminHandler::Limits() const {
  const SteadyTime now = context_->loop.Now();
  Json limited = Json::array();
  for (const LimitFinding& limit : context_->limits.Limited()) {
    limited.push_back(
        {{"runner", limit.run.runner.value()},
         {"calls_per_s", limit.calls_per_s},
         {"next_permit_ms", context_->limits.PermitWait(limit.run.runner, now).count()}});
  }
  return Dump({{"gateway", context_->settings.instance.value()}, {"limited", limited}});
}

std::string AdminHandler::Runners() {
  const SteadyTime now = context_->loop.Now();
  Json unwilling = Json::array();
  for (const auto& [id, runner] : context_->view.runners()) {
    const Willingness willingness =
        AssessWillingness(runner, context_->picker.health(id), &context_->limits, now);
    if (willingness.state == Willingness::State::kWilling) continue;
    unwilling.push_back({{"runner", id.value()},
                         {"state", WillingnessName(willingness.state)},
                         {"wait_ms", willingness.wait.count()}});
  }
  return Dump({{"gateway", context_->settings.instance.value()}, {"unwilling", unwilling}});
}

std::string AdminHandler::Quotas() const {
  const BootTime now = context_->clock->BootNow();
  Json teams = Json::array();
  for (const TeamName& team : context_->quotas.account().Teams()) {
    teams.push_back(
        {{"team", team.value()}, {"balance", context_->quotas.account().Balance(team, now)}});
  }
  return Dump({{"gateway", context_->settings.instance.value()},
               {"issuer", context_->quotas.current().value()},
               {"members", context_->quotas.issuer().Members(now)},
               {"known_gateways", context_->quotas.issuer().known_gateways()},
               {"teams", teams}});
}

std::string AdminHandler::Store() const {
  const std::optional<StoreEra> era = context_->store.era();
  const Json state = {
      {"era", era ? era->value() : 0},
      {"config_version", context_->routes ? context_->routes->version.value() : 0},
      {"leader", context_->leader ? context_->leader->holder.value() : ""},
      {"fence", context_->leader ? FenceOf(context_->leader->position).value() : 0}};
  return Dump({{"gateway", context_->settings.instance.value()}, {"state", Json::array({state})}});
}

}  // namespace shallot::gateway
