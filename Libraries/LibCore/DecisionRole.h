#pragma once

#include <LibCore/Time.h>

#include <concepts>
#include <optional>
#include <vector>

namespace jaybridge {

/// A decision object without input or output: typed events and the time go in,
/// typed effects come out.
template <typename Role>
concept DecisionRole = requires(Role &R, const Role &Constant,
                                const typename Role::Event &Event,
                                TimePoint Now,
                                std::vector<typename Role::Effect> &Effects) {
  R.handle(Event, Now, Effects);
  R.advance(Now, Effects);
  requires std::same_as<decltype(Constant.nextDeadline()),
                        std::optional<TimePoint>>;
};

/// Combines lambdas into one visitor for `std::visit`.
template <typename... Functions> struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

} // namespace jaybridge
