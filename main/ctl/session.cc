#include "main/ctl/session.h"

#include "core/random.h"
#include "drivers/http_connection.h"

namespace shallot::ctl {
namespace {

constexpr size_t kRingSize = 256;
constexpr Millis kFetchTimeout{5'000};

}  // namespace

Session::Session(const std::string& platform)
    : ring_(kRingSize, [this] { task_posted_.notify_one(); }),
      platform_(platform, &ring_),
      editor_(&platform_, &clock_, EntropySeed()) {}

Session::~Session() { platform_.Stop(); }

void Session::RunNextTask() {
  if (ring_.RunPending(1) > 0) return;
  // The short timeout covers a task that is posted between the check above and the wait, whose
  // notification is missed.
  std::unique_lock lock(mutex_);
  task_posted_.wait_for(lock, Millis(1));
}

Result<ConfigState> Session::ReadConfig() {
  Result<ConfigState> state =
      Wait<ConfigState>([this](const ConfigEditor::ReadCallback& done) { editor_.Read(done); });
  if (IsOk(state) && ValueOf(state).version == StoreVersion(0)) {
    return Error{ErrorKind::kNotFound, "the fleet has no configuration yet",
                 "apply one with shallotctl config apply FILE"};
  }
  return state;
}

Result<std::string> Fetch(const std::string& address, const std::string& method,
                          const std::string& path, const std::string& body) {
  HttpConnection connection(address);
  HttpRequest request;
  request.method = method;
  request.path = path;
  request.body = body;
  request.content_type = body.empty() ? "" : "application/json";
  const Result<HttpReply> reply = connection.Exchange(request, kFetchTimeout);
  if (!IsOk(reply)) {
    return Error{ErrorKind::kUnavailable, address + ": " + ErrorOf(reply).message,
                 "check the address and that the process runs"};
  }
  const int status = ValueOf(reply).status;
  if (status / 100 != 2) {
    return Error{ErrorKind::kUnavailable,
                 address + path + " answered with status " + std::to_string(status),
                 "check that the address is the right one"};
  }
  return ValueOf(reply).body;
}

Result<nlohmann::json> FetchJson(const std::string& address, const std::string& path) {
  const Result<std::string> body = Fetch(address, "GET", path);
  if (!IsOk(body)) return ErrorOf(body);
  nlohmann::json parsed = nlohmann::json::parse(ValueOf(body), nullptr, false);
  if (parsed.is_discarded()) {
    return Error{ErrorKind::kInternal, address + path + " did not answer with JSON",
                 "check that the address is the right one"};
  }
  return parsed;
}

}  // namespace shallot::ctl
