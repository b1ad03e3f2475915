#include "core/service_kernel.h"

#include <utility>

#include "core/log.h"

namespace shallot {

ServiceKernel::~ServiceKernel() { StopAll(); }

Status ServiceKernel::Add(std::unique_ptr<Service> service) {
  if (FindService(service->Name()) != nullptr) {
    return Error{ErrorKind::kConflict, "service \"" + service->Name() + "\" is already registered",
                 "give each service a unique name"};
  }
  services_.push_back(std::move(service));
  return OkStatus();
}

Status ServiceKernel::StartAll() {
  while (started_ < services_.size()) {
    Service& service = *services_[started_];
    Status status = service.Start(*this);
    if (!IsOk(status)) {
      LogError("kernel",
               "service " + service.Name() + " did not start: " + FormatError(ErrorOf(status)));
      StopAll();
      return status;
    }
    ++started_;
  }
  return OkStatus();
}

void ServiceKernel::StopAll() {
  while (started_ > 0) services_[--started_]->Stop();
}

Service* ServiceKernel::FindService(const std::string& name) const {
  for (const auto& service : services_) {
    if (service->Name() == name) return service.get();
  }
  return nullptr;
}

}  // namespace shallot
