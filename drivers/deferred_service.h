#ifndef DRIVERS_DEFERRED_SERVICE_H_
#define DRIVERS_DEFERRED_SERVICE_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "core/service_kernel.h"

namespace shallot {

/// Builds a service when it is started, for services that need objects of an earlier service, and
/// forwards Start() and Stop() to it.
template <class Inner>
class DeferredService final : public Service {
 public:
  using Factory = std::function<std::unique_ptr<Inner>()>;
  DeferredService(std::string name, Factory make)
      : name_(std::move(name)), make_(std::move(make)) {}

  std::string Name() const override { return name_; }
  Status Start(ServiceKernel& kernel) override {
    inner_ = make_();
    return inner_->Start(kernel);
  }
  void Stop() override { inner_->Stop(); }
  /// Null before Start().
  const Inner* inner() const { return inner_.get(); }

 private:
  std::string name_;
  Factory make_;
  std::unique_ptr<Inner> inner_;
};

}  // namespace shallot

#endif  // DRIVERS_DEFERRED_SERVICE_H_
