#pragma once

#include <LibCore/Random.h>
#include <LibUpstream/SelectionPolicy.h>

#include <algorithm>

namespace jaybridge {

/// Selection policy after the power of two choices (Mitzenmacher 2001): the
/// cheapest of two random candidates in the own failure domain and of one from
/// all domains. If the first draw in the own domain finds no candidate, the
/// cheaper of two from all domains.
class PowerOfTwoChoices {
public:
  explicit PowerOfTwoChoices(RandomSeed Seed) : Random_(Seed) {}

  template <CandidateList List>
  std::optional<std::size_t> choose(const List &Candidates) {
    std::optional<std::size_t> Chosen = sampleLocal(Candidates);
    if (!Chosen)
      Chosen = sample(Candidates, std::nullopt);
    else
      Chosen = cheaper(Candidates, Chosen, sampleLocal(Candidates));
    if (!Chosen)
      return std::nullopt;
    return cheaper(Candidates, Chosen, sample(Candidates, Chosen));
  }

private:
  /// Returns the first candidate unless the second is cheaper.
  template <CandidateList List>
  static std::optional<std::size_t> cheaper(const List &Candidates,
                                            std::optional<std::size_t> First,
                                            std::optional<std::size_t> Second) {
    return Second && Candidates.cost(*Second) < Candidates.cost(*First) ? Second
                                                                        : First;
  }

  template <CandidateList List>
  std::optional<std::size_t> sampleLocal(const List &Candidates) {
    if (Candidates.localCount() == 0)
      return std::nullopt;
    std::size_t Position =
        Candidates.localPosition(Random_.below(Candidates.localCount()));
    if (Candidates.isExcluded(Position))
      return std::nullopt;
    return Position;
  }

  /// Returns the first permitted candidate from a random position on. It
  /// suffices to look at one candidate more than can be excluded or skipped.
  template <CandidateList List>
  std::optional<std::size_t> sample(const List &Candidates,
                                    std::optional<std::size_t> Skipped) {
    std::size_t Count = Candidates.count();
    if (Count == 0)
      return std::nullopt;
    std::size_t Start = Random_.below(Count);
    std::size_t MaxSteps = std::min(Count, Candidates.excludedCount() + 2);
    for (std::size_t Step = 0; Step < MaxSteps; ++Step) {
      std::size_t Position = (Start + Step) % Count;
      if (Position != Skipped && !Candidates.isExcluded(Position))
        return Position;
    }
    return std::nullopt;
  }

  Random Random_;
};

} // namespace jaybridge
