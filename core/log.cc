#include "core/log.h"

#include <array>
#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/shared_ptr.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <chrono>
#include <ctime>
#include <future>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

namespace shallot {
namespace {

namespace logging = boost::log;

/// Overflow policy of the queue of log records: drops and counts the records that do not fit.
class CountingDropPolicy {
 public:
  template <class LockT>
  static bool on_overflow(logging::record_view const& /*record*/, LockT& /*lock*/) {
    dropped.fetch_add(1, std::memory_order_relaxed);
    return false;
  }
  static void on_queue_space_available() {}
  static void interrupt() {}

  static std::atomic<uint64_t> dropped;  // NOLINT(readability-identifier-naming)
};
std::atomic<uint64_t> CountingDropPolicy::dropped{0};

using AsyncSink = logging::sinks::asynchronous_sink<
    logging::sinks::text_ostream_backend,
    logging::sinks::bounded_fifo_queue<kLogQueueLines, CountingDropPolicy>>;

struct LogState {
  std::atomic<LogLevel> level{LogLevel::kWarning};
  std::atomic<LogFormat> format{LogFormat::kText};
  std::string process_name;
  LogTarget target = LogTarget::kStandardError;
  boost::shared_ptr<AsyncSink> async_sink;
  std::atomic<uint64_t> reported_drops{0};
};

LogState& State() {
  static LogState state;
  return state;
}

const char* LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

std::string Timestamp() {
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 40> text{};
  const size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::snprintf(text.data() + length, text.size() - length, ".%03dZ", static_cast<int>(millis));
  return text.data();
}

std::string FormatText(LogLevel level, std::string_view part, std::string_view message,
                       std::string_view request_id) {
  std::string line =
      Timestamp() + " " + LevelName(level) + " " + std::string(part) + ": " + std::string(message);
  if (!request_id.empty()) line += " request=" + std::string(request_id);
  return line;
}

std::string FormatJson(LogLevel level, std::string_view part, std::string_view message,
                       std::string_view request_id) {
  nlohmann::json line = {{"time", Timestamp()},
                         {"level", LevelName(level)},
                         {"process", State().process_name},
                         {"part", std::string(part)},
                         {"message", std::string(message)}};
  if (!request_id.empty()) line["request"] = std::string(request_id);
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void AddStdoutSink() {
  auto backend = boost::make_shared<logging::sinks::text_ostream_backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, [](std::ostream*) {}));
  backend->auto_flush(true);
  State().async_sink = boost::make_shared<AsyncSink>(backend);
  logging::core::get()->add_sink(State().async_sink);
}

void AddStderrSink() {
  using Sink = logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;
  auto sink = boost::make_shared<Sink>();
  sink->locked_backend()->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream*) {}));
  sink->locked_backend()->auto_flush(true);
  logging::core::get()->add_sink(sink);
}

void AddSink() {
  if (State().target == LogTarget::kStandardOutput) {
    AddStdoutSink();
  } else {
    AddStderrSink();
  }
}

std::string Format(LogLevel level, std::string_view part, std::string_view message,
                   std::string_view request_id) {
  return State().format.load() == LogFormat::kJson ? FormatJson(level, part, message, request_id)
                                                   : FormatText(level, part, message, request_id);
}

}  // namespace

void InitLogging(LogLevel level, LogFormat format, const std::string& process_name,
                 LogTarget target) {
  State().level = level;
  State().format = format;
  State().process_name = process_name;
  State().target = target;
}

bool FlushLogging(std::chrono::milliseconds limit) {
  const auto sink = State().async_sink;
  if (!sink) return true;
  logging::core::get()->remove_sink(sink);
  const auto flushed = std::make_shared<std::promise<void>>();
  std::future<void> done = flushed->get_future();
  std::thread([sink, flushed] {
    sink->stop();
    sink->flush();
    flushed->set_value();
  }).detach();
  if (done.wait_for(limit) != std::future_status::ready) return false;
  State().async_sink.reset();
  return true;
}

uint64_t DroppedLogLines() { return CountingDropPolicy::dropped.load(std::memory_order_relaxed); }

void Log(LogLevel level, std::string_view part, std::string_view message,
         std::string_view request_id) {
  if (level < State().level.load(std::memory_order_relaxed)) return;
  static const bool kSinkAdded = (AddSink(), true);
  (void)kSinkAdded;
  static thread_local logging::sources::severity_logger<LogLevel> logger;
  const uint64_t dropped = DroppedLogLines();
  const uint64_t reported = State().reported_drops.exchange(dropped);
  if (dropped > reported) {
    BOOST_LOG(logger) << Format(LogLevel::kWarning, "log",
                                "event=lines-dropped count=" + std::to_string(dropped - reported),
                                {});
  }
  BOOST_LOG(logger) << Format(level, part, message, request_id);
}

}  // namespace shallot
