#pragma once

#include <LibCore/Identifier.h>

#include <cstdint>

namespace jaybridge {

using RandomSeed = Ordinal<struct RandomSeedTag>;

/// Deterministic pseudorandom number generator (SplitMix64, Steele et al.
/// 2014). Decision objects receive a seed or a generator at creation, so that a
/// replay draws the same numbers.
class Random {
public:
  explicit Random(RandomSeed Seed) : State_(Seed.value()) {}

  std::uint64_t next();
  /// Uniform in [0, Bound); Bound must be greater than 0.
  std::uint64_t below(std::uint64_t Bound);
  /// Uniform in [0, 1).
  double unit();

private:
  std::uint64_t State_;
};

} // namespace jaybridge
