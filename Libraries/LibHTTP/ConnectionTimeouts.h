#pragma once

#include <LibCore/Time.h>
#include <LibCore/Units.h>

#include <optional>

namespace jaybridge {

/// What a connection waits for from its caller.
enum class ConnectionPhase {
  /// The first byte of a request.
  Idle,
  Head,
  Body,
  /// Nothing: a response is due, or reading is paused.
  Answering,
  /// The caller closes the connection, after the last response.
  Closing,
};

/// Deadlines for the caller of one connection.
class ConnectionTimeouts {
public:
  static constexpr Duration IdleTimeout = 75s;
  static constexpr Duration HeadTimeout = 10s;
  /// A body must grow by MinBodyProgress in each BodyWindow.
  static constexpr Duration BodyWindow = 5s;
  static constexpr ByteCount MinBodyProgress{16UL * 1024};
  static constexpr Duration ClosingTimeout = 2s;

  /// Without an answer timeout, connections wait for their answers for as long
  /// as it takes.
  explicit ConnectionTimeouts(TimePoint Now,
                              std::optional<Duration> AnswerTimeout = {})
      : AnswerTimeout_(AnswerTimeout), Since_(Now) {}

  /// Changes the phase. Entering the present phase again does not restart its
  /// time.
  void enter(ConnectionPhase Next, TimePoint Now) {
    if (Next == Phase_)
      return;
    Phase_ = Next;
    Since_ = Now;
    BodyProgress_ = ByteCount();
  }
  /// Starts the time of the phase again, for the next request.
  void restart(ConnectionPhase Next, TimePoint Now) {
    Phase_ = Next;
    Since_ = Now;
    BodyProgress_ = ByteCount();
  }
  void receiveBody(ByteCount Received) { BodyProgress_ += Received; }

  ConnectionPhase phase() const { return Phase_; }
  std::optional<TimePoint> deadline() const {
    switch (Phase_) {
    case ConnectionPhase::Idle:
      return Since_ + IdleTimeout;
    case ConnectionPhase::Head:
      return Since_ + HeadTimeout;
    case ConnectionPhase::Body:
      return Since_ + BodyWindow;
    case ConnectionPhase::Closing:
      return Since_ + ClosingTimeout;
    case ConnectionPhase::Answering:
      if (AnswerTimeout_)
        return Since_ + *AnswerTimeout_;
      break;
    }
    return std::nullopt;
  }
  /// Whether the caller was too slow. Starts the next window of a body that
  /// made enough progress.
  bool hasExpired(TimePoint Now) {
    if (const auto Due = deadline(); !Due || Now < *Due)
      return false;
    if (Phase_ != ConnectionPhase::Body || BodyProgress_ < MinBodyProgress)
      return true;
    restart(ConnectionPhase::Body, Now);
    return false;
  }

private:
  std::optional<Duration> AnswerTimeout_;
  ConnectionPhase Phase_ = ConnectionPhase::Idle;
  TimePoint Since_;
  ByteCount BodyProgress_;
};

} // namespace jaybridge
