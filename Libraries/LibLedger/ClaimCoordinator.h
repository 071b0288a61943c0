#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Result.h>
#include <LibCore/Units.h>
#include <LibLedger/LedgerMessages.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jaybridge {

// Events of ClaimCoordinator.

/// A request with a key asks for the right to be dispatched.
struct ClaimRequested {
  RequestId Request_;
  IdempotencyKeyText Key_;
  Fingerprint Fingerprint_;
  TimePoint Deadline_;
};

/// The request was not dispatched and never will be. Without a decision so far
/// there will be none.
struct ReleaseRequested {
  RequestId Request_;
};

/// The granted request ended with this answer. An answer that says `not-run`
/// releases the key.
struct FinishRequested {
  RequestId Request_;
  Answer Answer_;
};

struct LedgerReplyReceived {
  MemberId Replica_;
  LedgerReply Reply_;
};

// Effects of ClaimCoordinator.

struct SendToReplica {
  MemberId Replica_;
  LedgerRequest Message_;
};

/// The one decision on a ClaimRequested: without a refusal or stored answer
/// the request may be dispatched once, before its deadline.
struct ClaimSettled {
  RequestId Request_;
  std::optional<Answer> Answer_;
};

struct ClaimCoordinatorSettings {
  MemberId Self_;
  /// Differs in each run of this gateway and rises, for example the wall time
  /// at its start.
  Incarnation Incarnation_;
  std::vector<MemberId> Replicas_;
  /// After this time without a majority the caller gets an answer.
  Duration ClaimTimeout_ = std::chrono::milliseconds(500);
  /// First interval between copies of a message; doubles for messages that
  /// close a claim.
  Duration ResendInterval_ = std::chrono::milliseconds(50);
  Duration GreatestResendInterval_ = std::chrono::seconds(5);
  /// How long a Finish or Release is repeated; the replicas' retention.
  Duration Retention_ = std::chrono::minutes(10);
  /// What a caller that meets a claim in progress waits before it asks again.
  Duration RetryAfter_ = std::chrono::milliseconds(500);
  /// Claims that are open or being closed.
  EventCount GreatestClaimCount_{16'384};
};

struct ClaimCoordinatorCounters {
  EventCount Granted_;
  EventCount Refused_;
  EventCount RefusedFull_;
  /// Claims that were dropped before a majority knew that they were closed.
  EventCount Unconfirmed_;
};

/// Decides on a gateway which requests with a key may be dispatched. A request
/// is granted only when a majority of the replicas accepted its own claim
/// before its deadline. A claim that was refused is never granted later.
///
/// No answer of this class says `not-run`, but for keys that no gateway
/// accepts: an earlier copy of the request may have run.
class ClaimCoordinator {
public:
  using Event = std::variant<ClaimRequested, ReleaseRequested, FinishRequested,
                             LedgerReplyReceived>;
  using Effect = std::variant<SendToReplica, ClaimSettled>;

  /// Fails without replicas or with a replica that is named twice.
  static Result<ClaimCoordinator> create(ClaimCoordinatorSettings Settings);

  void handle(const Event &Received, TimePoint Now,
              std::vector<Effect> &Effects);
  void advance(TimePoint Now, std::vector<Effect> &Effects);
  std::optional<TimePoint> nextDeadline() const;

  EventCount claimCount() const { return EventCount(Claims_.size()); }
  const ClaimCoordinatorCounters &counters() const { return Counters_; }

private:
  enum class Phase { Asking, Granted, Closing };

  struct OpenClaim {
    RequestId Request_;
    IdempotencyKey Key_;
    Fingerprint Fingerprint_;
    TimePoint Deadline_{};
    Phase Phase_ = Phase::Asking;
    /// Latest verdict of each replica; an acceptance is never replaced.
    std::map<MemberId, ClaimVerdict> Verdicts_{};
    /// When Closing: what is repeated, and who confirmed it.
    std::optional<LedgerRequest> Closing_{};
    std::set<MemberId> Confirmed_{};
    Duration Interval_{};
    TimePoint ResendAt_{};
    /// End of Asking or of Closing.
    TimePoint EndsAt_{};
  };
  using Claims = std::map<ClaimNumber, OpenClaim>;

  explicit ClaimCoordinator(ClaimCoordinatorSettings Settings)
      : Settings_(std::move(Settings)) {}

  void open(const ClaimRequested &Asked, TimePoint Now,
            std::vector<Effect> &Effects);
  void receive(const LedgerReplyReceived &Received, TimePoint Now,
               std::vector<Effect> &Effects);
  void decide(ClaimNumber Number, OpenClaim &Each, TimePoint Now,
              std::vector<Effect> &Effects);
  void refuse(ClaimNumber Number, OpenClaim &Each, Answer Reason, TimePoint Now,
              std::vector<Effect> &Effects);
  void close(ClaimNumber Number, OpenClaim &Each, LedgerRequest Message,
             TimePoint Now, std::vector<Effect> &Effects);
  void sendOpenMessages(ClaimNumber Number, OpenClaim &Each, TimePoint Now,
                        std::vector<Effect> &Effects);
  void schedule(ClaimNumber Number, const OpenClaim &Each);
  void unschedule(ClaimNumber Number, const OpenClaim &Each);
  void erase(ClaimNumber Number);
  Claims::iterator findOpen(const RequestId &Request);
  Answer answerOnFailure(const OpenClaim &Each) const;
  bool isFirstOfSplitVote(const ClaimId &Own, const OpenClaim &Each) const;
  std::size_t acceptedCount(const OpenClaim &Each) const;
  std::size_t majority() const { return Settings_.Replicas_.size() / 2 + 1; }
  bool isReplica(const MemberId &Member) const;
  ClaimId idOf(ClaimNumber Number) const {
    return ClaimId{Settings_.Self_, Settings_.Incarnation_, Number};
  }

  ClaimCoordinatorSettings Settings_;
  ClaimNumber Last_;
  Claims Claims_;
  std::map<RequestId, ClaimNumber> ByRequest_;
  std::set<std::pair<TimePoint, ClaimNumber>> Timers_;
  ClaimCoordinatorCounters Counters_;
};

static_assert(DecisionRole<ClaimCoordinator>);

} // namespace jaybridge
