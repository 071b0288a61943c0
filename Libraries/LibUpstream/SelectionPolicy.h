#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Quantity.h>

#include <concepts>
#include <cstddef>
#include <optional>
#include <vector>

namespace jaybridge {

/// Cost of sending the next request to an instance; the instance with the
/// lowest cost is selected.
using SelectionCost = Quantity<struct SelectionCostTag, double>;

/// Which instances are candidates.
enum class CandidateScope {
  /// Every instance that can take a request now.
  Available,
  /// Those of them that ran their last request recently. Maintained with
  /// placement by cost only.
  RanRecently,
};

/// Constraints on the instance selected for one attempt.
struct SelectionRequest {
  /// Instances to which this request has already been sent.
  std::vector<InstanceId> Tried_;
  /// Whether the request may run more than once.
  bool IsRepeatable_ = true;
  CandidateScope Scope_ = CandidateScope::Available;
};

/// Instances that can take a request now, addressed by position. The number of
/// lookups that a policy makes first must not depend on the number of
/// candidates.
template <typename List>
concept CandidateList = requires(const List &Candidates, std::size_t Position) {
  { Candidates.count() } -> std::same_as<std::size_t>;
  { Candidates.localCount() } -> std::same_as<std::size_t>;
  { Candidates.localPosition(Position) } -> std::same_as<std::size_t>;
  { Candidates.excludedCount() } -> std::same_as<std::size_t>;
  { Candidates.isExcluded(Position) } -> std::same_as<bool>;
  { Candidates.cost(Position) } -> std::same_as<SelectionCost>;
};

/// Selects one of the candidates; none when all of them are excluded.
template <typename Policy, typename List>
concept SelectionPolicy = CandidateList<List> &&
    requires(Policy &Selector, const List &Candidates) {
  { Selector.choose(Candidates) } -> std::same_as<std::optional<std::size_t>>;
};

} // namespace jaybridge
