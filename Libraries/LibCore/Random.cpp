#include <LibCore/Random.h>

#include <LibCore/Verify.h>

namespace jaybridge {

std::uint64_t Random::next() {
  State_ += 0x9e3779b97f4a7c15ULL;
  std::uint64_t Mixed = State_;
  Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
  return Mixed ^ (Mixed >> 31);
}

std::uint64_t Random::below(std::uint64_t Bound) {
  JAYBRIDGE_VERIFY(Bound > 0);
  return next() % Bound;
}

double Random::unit() {
  constexpr double Scale = 1.0 / 9007199254740992.0;
  return static_cast<double>(next() >> 11) * Scale;
}

} // namespace jaybridge
