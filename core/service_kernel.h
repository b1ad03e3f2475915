#ifndef CORE_SERVICE_KERNEL_H_
#define CORE_SERVICE_KERNEL_H_

#include <memory>
#include <string>
#include <vector>

#include "core/result.h"

namespace shallot {

class ServiceKernel;

/// A component of a process with its own life cycle; other services find it by its name.
class Service {
 public:
  virtual ~Service() = default;
  /// Name under which other services find this one.
  virtual std::string Name() const = 0;
  /// Looks up the services that this one depends on and starts its threads.
  virtual Status Start(ServiceKernel& kernel) = 0;
  /// Stops and joins its threads. Called once after a successful Start.
  virtual void Stop() = 0;
};

/// Starts named services in the order in which they were added and stops them in reverse order.
class ServiceKernel {
 public:
  ServiceKernel() = default;
  ~ServiceKernel();
  ServiceKernel(const ServiceKernel&) = delete;
  ServiceKernel& operator=(const ServiceKernel&) = delete;

  /// Adds a service; fails with kConflict when another service has its name.
  Status Add(std::unique_ptr<Service> service);
  /// Starts all services; on the first failure stops the started ones and returns the error.
  Status StartAll();
  void StopAll();

  /// The service with that name; null when there is none or it has another type.
  template <class T>
  T* Find(const std::string& name) const {
    return dynamic_cast<T*>(FindService(name));
  }

 private:
  Service* FindService(const std::string& name) const;

  std::vector<std::unique_ptr<Service>> services_;
  size_t started_ = 0;
};

}  // namespace shallot

#endif  // CORE_SERVICE_KERNEL_H_
