#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Quantity.h>

#include <concepts>
#include <cstddef>
#include <optional>
#include <vector>

namespace jaybridge {

/// How unattractive an instance is for the next request; the least wins.
using SelectionCost = Quantity<struct SelectionCostTag, double>;

/// What is wanted of an instance for one attempt.
struct SelectionRequest {
  /// Instances that had an attempt of this request already.
  std::vector<InstanceId> Tried_;
};

/// Instances that can take a request now, by position. The first lookups a
/// policy makes must not depend on the number of candidates.
template <typename List>
concept CandidateList = requires(const List &Given, std::size_t Position) {
  { Given.count() } -> std::same_as<std::size_t>;
  { Given.localCount() } -> std::same_as<std::size_t>;
  { Given.localPosition(Position) } -> std::same_as<std::size_t>;
  { Given.excludedCount() } -> std::same_as<std::size_t>;
  { Given.isExcluded(Position) } -> std::same_as<bool>;
  { Given.cost(Position) } -> std::same_as<SelectionCost>;
};

/// Chooses among candidates; none when each of them is excluded.
template <typename Policy, typename List>
concept SelectionPolicy = CandidateList<List> &&
    requires(Policy &Chooser, const List &Given) {
  { Chooser.choose(Given) } -> std::same_as<std::optional<std::size_t>>;
};

} // namespace jaybridge
