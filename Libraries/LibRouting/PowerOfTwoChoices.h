#pragma once

#include <LibCore/Random.h>
#include <LibUpstream/SelectionPolicy.h>

#include <algorithm>

namespace jaybridge {

/// The cheapest of two random candidates (Mitzenmacher 2001) of the own failure
/// domain and of one from anywhere. Without candidates in the own domain, the
/// cheaper of two from anywhere.
class PowerOfTwoChoices {
public:
  explicit PowerOfTwoChoices(RandomSeed Seed) : Random_(Seed) {}

  template <CandidateList List>
  std::optional<std::size_t> choose(const List &Given) {
    std::optional<std::size_t> Chosen = drawLocal(Given);
    if (!Chosen)
      Chosen = draw(Given, std::nullopt);
    else
      Chosen = cheaper(Given, Chosen, drawLocal(Given));
    if (!Chosen)
      return std::nullopt;
    return cheaper(Given, Chosen, draw(Given, Chosen));
  }

private:
  /// The first unless the second is cheaper.
  template <CandidateList List>
  static std::optional<std::size_t> cheaper(const List &Given,
                                            std::optional<std::size_t> First,
                                            std::optional<std::size_t> Second) {
    return Second && Given.cost(*Second) < Given.cost(*First) ? Second : First;
  }

  template <CandidateList List>
  std::optional<std::size_t> drawLocal(const List &Given) {
    if (Given.localCount() == 0)
      return std::nullopt;
    std::size_t Position =
        Given.localPosition(Random_.below(Given.localCount()));
    if (Given.isExcluded(Position))
      return std::nullopt;
    return Position;
  }

  /// Looks at one more candidate than can be ruled out, from a random one on.
  template <CandidateList List>
  std::optional<std::size_t> draw(const List &Given,
                                  std::optional<std::size_t> Other) {
    std::size_t Count = Given.count();
    if (Count == 0)
      return std::nullopt;
    std::size_t Start = Random_.below(Count);
    std::size_t Steps = std::min(Count, Given.excludedCount() + 2);
    for (std::size_t Step = 0; Step < Steps; ++Step) {
      std::size_t Position = (Start + Step) % Count;
      if (Position != Other && !Given.isExcluded(Position))
        return Position;
    }
    return std::nullopt;
  }

  Random Random_;
};

} // namespace jaybridge
