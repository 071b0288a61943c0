#pragma once

#include <LibCore/Units.h>

#include <cstddef>
#include <deque>
#include <optional>

namespace jaybridge {

/// Order of the requests of one connection: which ones may be passed on before
/// those in front of them are answered, and whether more may be read.
class PipelineOrder {
public:
  static constexpr std::size_t MaxRequests = 8;
  static constexpr ByteCount MaxReadAhead{64UL * 1024};

  /// Adds a request behind all others. Only safe requests (GET, HEAD) can be
  /// passed on early.
  void add(bool IsSafe) { Entries_.push_back({IsSafe, State::Waiting}); }
  /// Position of the next request to pass on. A request behind others is passed
  /// on only when it and all requests in front of it are safe and passed on or
  /// answered.
  std::optional<std::size_t> nextToPassOn() const;
  void passOn(std::size_t Position) {
    Entries_[Position].State_ = State::PassedOn;
  }
  void answer(std::size_t Position) {
    Entries_[Position].State_ = State::Answered;
  }
  /// The request must not run before those in front of it are answered.
  void awaitTurn(std::size_t Position) {
    Entries_[Position] = {false, State::Waiting};
  }
  bool isFirstAnswered() const {
    return !Entries_.empty() && Entries_.front().State_ == State::Answered;
  }
  void removeFirst() { Entries_.pop_front(); }
  /// Whether the connection can be closed after the first response: no later
  /// request has been passed on.
  bool canCloseAfterFirst() const;
  /// Whether more bytes may be read. `ReadAhead` counts the bytes of incomplete
  /// requests and of requests that wait for their turn.
  bool canReadMore(ByteCount ReadAhead) const {
    return Entries_.empty() ||
           (Entries_.size() < MaxRequests && ReadAhead < MaxReadAhead);
  }
  bool isEmpty() const { return Entries_.empty(); }
  std::size_t size() const { return Entries_.size(); }

private:
  enum class State { Waiting, PassedOn, Answered };
  struct Entry {
    bool IsSafe_;
    State State_;
  };
  std::deque<Entry> Entries_;
};

} // namespace jaybridge
