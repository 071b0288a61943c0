#include <LibHTTP/PipelineOrder.h>

#include <algorithm>

namespace jaybridge {

std::optional<std::size_t> PipelineOrder::nextToPassOn() const {
  for (std::size_t Position = 0; Position < Entries_.size(); ++Position) {
    const auto &[IsSafe, Current] = Entries_[Position];
    if (Current == State::Waiting)
      return Position == 0 || IsSafe ? std::optional(Position) : std::nullopt;
    if (!IsSafe)
      return std::nullopt;
  }
  return std::nullopt;
}

bool PipelineOrder::canCloseAfterFirst() const {
  return std::none_of(
      Entries_.begin() + (Entries_.empty() ? 0 : 1), Entries_.end(),
      [](const Entry &Later) { return Later.State_ != State::Waiting; });
}

} // namespace jaybridge
