#ifndef CORE_SERVICE_KERNEL_H_
#define CORE_SERVICE_KERNEL_H_

#include <memory>
#include <string>
#include <vector>

#include "core/result.h"

namespace shallot {

class ServiceKernel;

/// A part of a process with a life of its own, found by others by its name.
class Service {
 public:
  virtual ~Service() = default;
  /// Name under which other services find this one.
  virtual std::string Name() const = 0;
  /// Finds the services it needs and starts its threads.
  virtual Status Start(ServiceKernel& kernel) = 0;
  /// Stops and joins its threads. Called once after a successful Start.
  virtual void Stop() = 0;
};

/// Starts named services in the order they were added and stops them in reverse.
class ServiceKernel {
 public:
  ServiceKernel() = default;
  ~ServiceKernel();
  ServiceKernel(const ServiceKernel&) = delete;
  ServiceKernel& operator=(const ServiceKernel&) = delete;

  /// Adds a service; fails with kConflict when the name is taken.
  Status Add(std::unique_ptr<Service> service);
  /// Starts all; on the first failure stops those already started and returns the error.
  Status StartAll();
  void StopAll();

  /// The service of that name, or null when there is none or it has another type.
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
