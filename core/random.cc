#include "core/random.h"

#include <cmath>
#include <pcg_random.hpp>
#include <random>

namespace shallot {

struct Random::Engine {
  explicit Engine(uint64_t seed) : generator(seed) {}
  pcg64 generator;
};

Random::Random(uint64_t seed) : engine_(std::make_unique<Engine>(seed)) {}
Random::~Random() = default;

uint64_t Random::Next() { return engine_->generator(); }

uint64_t Random::Below(uint64_t bound) { return engine_->generator(bound); }

double Random::Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }

double Random::Exponential(double mean) { return -mean * std::log1p(-Unit()); }

uint64_t EntropySeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

}  // namespace shallot
