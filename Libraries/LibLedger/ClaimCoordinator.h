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

// Events that ClaimCoordinator handles.

/// A request with an idempotency key arrived and needs a claim before it may
/// be dispatched.
struct ClaimRequested {
  RequestId Request_;
  IdempotencyKeyText Key_;
  Fingerprint Fingerprint_;
  TimePoint Deadline_;
};

/// The request was not dispatched and never will be. Its claim is released; if
/// it is still undecided, no ClaimSettled follows.
struct ReleaseRequested {
  RequestId Request_;
};

/// The granted request ended with this answer. An answer with the outcome
/// `not-run` releases the key, any other is stored with it.
struct FinishRequested {
  RequestId Request_;
  Answer Answer_;
};

/// A replica replied to a Claim, Release or Finish.
struct LedgerReplyReceived {
  MemberId Replica_;
  LedgerReply Reply_;
};

// Effects that ClaimCoordinator returns.

struct SendToReplica {
  MemberId Replica_;
  LedgerRequest Message_;
};

/// The only decision on a ClaimRequested. Without an answer the claim is
/// granted: the request may be dispatched once, before its deadline. Otherwise
/// the answer is a refusal or the stored answer of an earlier request with the
/// key.
struct ClaimSettled {
  RequestId Request_;
  std::optional<Answer> Answer_;
};

struct ClaimCoordinatorSettings {
  MemberId Self_;
  /// Must increase with each start of this gateway, for example the wall time
  /// of the start.
  Incarnation Incarnation_;
  std::vector<MemberId> Replicas_;
  /// A claim that no majority has accepted after this time is refused.
  Duration ClaimTimeout_ = std::chrono::milliseconds(500);
  /// First interval between retransmissions. Claims are repeated at this
  /// interval; for Release and Finish it doubles each time.
  Duration ResendInterval_ = std::chrono::milliseconds(50);
  Duration MaxResendInterval_ = std::chrono::seconds(5);
  /// How long a Finish or Release is retransmitted. Equals the retention of the
  /// replicas, which discard the key afterwards.
  Duration Retention_ = std::chrono::minutes(10);
  /// Retry-After of refusals that a later attempt may overcome.
  Duration RetryAfter_ = std::chrono::milliseconds(500);
  /// Limit of the number of claims that are undecided, granted or being closed.
  EventCount MaxClaimCount_{16'384};
};

struct ClaimCoordinatorCounters {
  EventCount Granted_;
  EventCount Refused_;
  /// Refused because MaxClaimCount_ was reached; included in Refused_.
  EventCount RefusedAtLimit_;
  /// Claims that were dropped before a majority knew that they were closed.
  EventCount ClosedUnconfirmed_;
};

/// Decides on a gateway which requests with an idempotency key may be
/// dispatched. A request is granted only when a majority of the replicas
/// accepted its claim before its deadline. A refused claim is never granted
/// later.
///
/// Refusals have the outcome `unknown`, because an earlier copy of the request
/// may have run. Only an invalid key, which every gateway refuses, is answered
/// with `not-run`.
class ClaimCoordinator {
public:
  using Event = std::variant<ClaimRequested, ReleaseRequested, FinishRequested,
                             LedgerReplyReceived>;
  using Effect = std::variant<SendToReplica, ClaimSettled>;

  /// Error when there is no replica, when a replica is listed twice or when the
  /// resend interval is not above 0.
  static Result<ClaimCoordinator> create(ClaimCoordinatorSettings Settings);

  void handle(const Event &Incoming, TimePoint Now,
              std::vector<Effect> &Effects);
  /// Sends the retransmissions and handles the timeouts that are due.
  void advance(TimePoint Now, std::vector<Effect> &Effects);
  std::optional<TimePoint> nextDeadline() const;

  EventCount claimCount() const { return EventCount(Claims_.size()); }
  const ClaimCoordinatorCounters &counters() const { return Counters_; }

private:
  enum class Phase { Claiming, Granted, Closing };

  struct ClaimState {
    RequestId Request_;
    IdempotencyKey Key_;
    Fingerprint Fingerprint_;
    TimePoint Deadline_{};
    Phase Phase_ = Phase::Claiming;
    /// Latest verdict of each replica; later verdicts never replace an
    /// acceptance.
    std::map<MemberId, ClaimVerdict> Verdicts_{};
    /// In Phase::Closing: the Release or Finish that is retransmitted, and the
    /// replicas that confirmed it.
    std::optional<LedgerRequest> ClosingMessage_{};
    std::set<MemberId> ConfirmedBy_{};
    Duration CurrentInterval_{};
    TimePoint ResendAt_{};
    /// Timeout of Phase::Claiming or Phase::Closing.
    TimePoint PhaseEndsAt_{};
  };
  using Claims = std::map<ClaimNumber, ClaimState>;

  explicit ClaimCoordinator(ClaimCoordinatorSettings Settings)
      : Settings_(std::move(Settings)) {}

  void open(const ClaimRequested &Request, TimePoint Now,
            std::vector<Effect> &Effects);
  void receive(const LedgerReplyReceived &Received, TimePoint Now,
               std::vector<Effect> &Effects);
  void decide(ClaimNumber Number, ClaimState &State, TimePoint Now,
              std::vector<Effect> &Effects);
  void refuse(ClaimNumber Number, ClaimState &State, Answer Reason,
              TimePoint Now, std::vector<Effect> &Effects);
  void close(ClaimNumber Number, ClaimState &State, LedgerRequest Message,
             TimePoint Now, std::vector<Effect> &Effects);
  void sendPendingMessages(ClaimNumber Number, ClaimState &State, TimePoint Now,
                           std::vector<Effect> &Effects);
  void schedule(ClaimNumber Number, const ClaimState &State);
  void unschedule(ClaimNumber Number, const ClaimState &State);
  void erase(ClaimNumber Number);
  Claims::iterator findByRequest(const RequestId &Request);
  Answer answerWithoutMajority(const ClaimState &State) const;
  bool hasPriorityInSplitVote(const ClaimId &Own,
                              const ClaimState &State) const;
  std::size_t acceptedCount(const ClaimState &State) const;
  std::size_t majority() const { return Settings_.Replicas_.size() / 2 + 1; }
  bool isReplica(const MemberId &Member) const;
  ClaimId claimIdOf(ClaimNumber Number) const {
    return ClaimId{Settings_.Self_, Settings_.Incarnation_, Number};
  }

  ClaimCoordinatorSettings Settings_;
  ClaimNumber LastNumber_;
  Claims Claims_;
  std::map<RequestId, ClaimNumber> NumberByRequest_;
  std::set<std::pair<TimePoint, ClaimNumber>> Timers_;
  ClaimCoordinatorCounters Counters_;
};

static_assert(DecisionRole<ClaimCoordinator>);

} // namespace jaybridge
