#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Random.h>
#include <LibCore/Result.h>
#include <LibRegistry/DocumentReading.h>
#include <LibRegistry/ReceivedConfiguration.h>
#include <LibRegistry/RecentAnswers.h>
#include <LibRegistry/SubscriptionMessages.h>
#include <LibRouting/GatewayMessages.h>

#include <map>
#include <set>

namespace jaybridge {

struct RegistrySubscriptionSettings {
  FailureDomain Domain_;
  /// Peer address of this gateway. Until the members' failure domains are
  /// known, members with a similar address are assumed to be near.
  Endpoint Self_;
  /// Control members to subscribe to initially.
  std::vector<MemberId> Seeds_;
  /// The gateway switches to another member when the followed one was silent
  /// for this time, which is three heartbeat intervals of a control member.
  Duration MemberTimeout_ = 1200ms;
  /// Timeout before the first response; members start at about the same time.
  Duration FirstResponseTimeout_ = 400ms;
  Duration RenewInterval_ = 1s;
  /// Minimum time between requests for missed changes.
  Duration ResynchronizeInterval_ = 500ms;
  /// Minimum time between requests that are repeated because the connection
  /// was lost.
  Duration ReconnectInterval_ = 100ms;
  /// Minimum time that a member in another failure domain is followed. It
  /// doubles with each nearer member that turns out not to be current, so that
  /// such a member is not tried constantly.
  Duration MinFollowDuration_ = 500ms;
  Duration MaxFollowDuration_ = 4s;
  /// Delays after which successful and failed attempts are reported, so that
  /// several outcomes share a report.
  Duration SuccessReportDelay_ = 1s;
  Duration FailureReportDelay_ = 20ms;
};

/// The gateway found or lost a control member that is current.
struct ControlMemberChanged {
  std::optional<MemberId> Member_;
};

/// A configuration cannot be used, so that the previous one stays in force.
struct DocumentRejected {
  ConfigurationVersion Version_;
  Error Reason_;
};

/// The connection to a control member ended; messages to it may be lost.
struct MemberConnectionLost {
  MemberId Member_;
};

using RegistrySubscriptionEvent =
    std::variant<SubscriptionReceived, MemberConnectionLost, ReportAttempt,
                 ReportRetry, ReportOverdue, SendTokenRequest, DocumentRead>;
using RegistrySubscriptionEffect =
    std::variant<SendSubscription, ReadDocument, RoutingChanged,
                 InstanceChanged, EjectionsChanged, FingerprintsQuarantined,
                 RetriesGranted, ControlMemberChanged, DocumentRejected,
                 TokensGranted>;

/// The part of the subscription that doesn't concern the configuration.
class RegistrySubscriptionState {
public:
  using Effects = std::vector<RegistrySubscriptionEffect>;

  RegistrySubscriptionState(RegistrySubscriptionSettings Settings,
                            RandomSeed Seed)
      : Settings_(std::move(Settings)), Random_(Seed),
        FollowDuration_(Settings_.MinFollowDuration_) {}

  void advance(TimePoint Now, Effects &Out);
  std::optional<TimePoint> nextDeadline() const;
  void recordAttempt(const ReportAttempt &Attempt, TimePoint Now);
  void recordOverdue(const ReportOverdue &Overdue, TimePoint Now);
  /// Requests a replacement with the next report.
  void recordRetrySpent(const ReportRetry &Spent, TimePoint Now);
  /// Requests tokens from the followed member. Without one, the request stays
  /// unanswered.
  void sendTokenRequest(const SendTokenRequest &Send, Effects &Out) const {
    if (IsConfirmed_ && FollowedMember_)
      Out.emplace_back(SendSubscription{*FollowedMember_, Send.Request_});
  }
  /// Passes on granted retries, at most the number that was spent.
  void acceptGrant(const RetriesGranted &Grant, Effects &Out);

  /// Checks that the update continues the current revision and comes from the
  /// followed member or, while none is confirmed, is a full update of any
  /// member. If so, advances the revision and returns true; the caller then
  /// applies the update. Requests missed changes if the revision doesn't fit.
  bool acceptUpdate(const MemberId &From, const RegistryUpdate &Update,
                    TimePoint Now, Effects &Out);
  void applyInstances(const RegistryUpdate &Update, Effects &Out);
  void handleHeartbeat(const MemberId &From, const RegistryHeartbeat &Heartbeat,
                       TimePoint Now, Effects &Out);
  /// Repeats the request if it may have been lost: the connections to members
  /// that have restarted end with the first message.
  void handleConnectionLost(const MemberId &Member, TimePoint Now,
                            Effects &Out);
  /// Switches to another member if the sender is the followed one.
  void handleStale(const MemberId &From, TimePoint Now, Effects &Out);
  /// Requests the whole registry, since a change does not fit the present
  /// document.
  void requestFullUpdate(TimePoint Now, Effects &Out);
  void setVersion(ConfigurationVersion Version) { Version_ = Version; }
  ConfigurationVersion version() const { return Version_; }

private:
  /// Returns whether the update leaves no gap after the current revision.
  bool continues(const RegistryUpdate &Update) const;
  /// Marks the followed member as confirmed and restarts its timeout.
  void confirmMember(const MemberId &From, TimePoint Now, Effects &Out);
  /// Returns whether the member is known to be in this failure domain.
  bool isNear(const MemberId &Member) const;
  /// Returns whether the followed member is in another failure domain although
  /// a member in this domain is known, and was followed for long enough.
  bool hasNearerMember(TimePoint Now) const;
  /// Follows the next candidate.
  void switchMember(TimePoint Now, Effects &Out);
  /// Requests missed changes, at most once in ResynchronizeInterval_.
  void resynchronize(TimePoint Now, Effects &Out);
  void subscribe(TimePoint Now, Effects &Out, bool IsRenewal = false);
  void sendReport(Effects &Out);
  /// Passes on the ejected instances, which are valid for a limited time.
  void renewEjections(TimePoint Now, Effects &Out);
  void applyVerdicts(const RequestVerdicts &Verdicts, TimePoint Now,
                     Effects &Out);
  /// Keeps what the attempt says about its request for the next report.
  void recordRequest(const ReportAttempt &Attempt, TimePoint Now);
  /// Adds the counts to the next report.
  void countForReport(const AttemptCounts &Counts, TimePoint Now);
  /// Sends the next report after at most this delay.
  void scheduleReport(Duration Delay, TimePoint Now);
  /// Returns the known members and seeds, the preferred one last.
  std::vector<MemberId> candidates();
  /// Returns the number of leading address parts that a member shares with this
  /// gateway.
  std::size_t commonPrefixParts(const MemberId &Member) const;

  RegistrySubscriptionSettings Settings_;
  Random Random_;
  std::vector<ControlMember> Members_;
  std::vector<MemberId> Candidates_;
  std::optional<MemberId> FollowedMember_;
  /// The followed member has sent current data.
  bool IsConfirmed_ = false;
  bool HasEverBeenConfirmed_ = false;
  TimePoint ConfirmedAt_{};
  /// Time after which a nearer member is tried.
  Duration FollowDuration_{};
  TimePoint SwitchMemberAt_{};
  TimePoint NextRenewal_{};
  TimePoint NextResynchronization_{};
  TimePoint NextReconnection_{};
  LogIndex Revision_;
  ConfigurationVersion Version_;
  std::map<InstanceId, InstanceRecord> Instances_;
  EjectionSet Ejections_;
  /// Services whose ejected instances were passed on last.
  std::set<ServiceName> ServicesWithEjections_;
  std::map<InstanceId, AttemptCounts> Attempts_;
  std::map<ServiceName, EventCount> SpentRetries_;
  RequestEvidence RequestEvidence_;
  RequestVerdicts RequestVerdicts_;
  RecentAnswers RecentAnswers_;
  std::optional<TimePoint> NextReport_;
};

/// A gateway's subscription to the registry. It follows one control member that
/// is current, and keeps its last data while there is none. Configurations are
/// read elsewhere, so that nothing else waits meanwhile.
class RegistrySubscription {
public:
  using Event = RegistrySubscriptionEvent;
  using Effect = RegistrySubscriptionEffect;
  using Effects = std::vector<Effect>;

  RegistrySubscription(RegistrySubscriptionSettings Settings, RandomSeed Seed)
      : State_(std::move(Settings), Seed) {}

  void handle(const Event &Incoming, TimePoint Now, Effects &Out);
  void advance(TimePoint Now, Effects &Out);
  std::optional<TimePoint> nextDeadline() const {
    return State_.nextDeadline();
  }

private:
  /// A member that is announced when a version has been read. The gateway then
  /// refuses keys and routes that are not in its configuration.
  struct HeldContact {
    ControlMemberChanged Change_;
    ConfigurationVersion Version_;
  };

  void on(const ReportAttempt &Attempt, TimePoint Now, Effects &Out);
  void on(const ReportOverdue &Overdue, TimePoint Now, Effects &Out);
  void on(const ReportRetry &Spent, TimePoint Now, Effects &Out);
  void on(const SendTokenRequest &Send, TimePoint Now, Effects &Out);
  void on(const MemberConnectionLost &Lost, TimePoint Now, Effects &Out);
  void on(const SubscriptionReceived &Received, TimePoint Now, Effects &Out);
  void on(const DocumentRead &Read, TimePoint Now, Effects &Out);
  void receive(const RegistryUpdate &Update, TimePoint Now, Effects &Out);
  void startReading(Effects &Out);
  /// Holds back a new contact among the effects from First on while a
  /// configuration is read.
  void holdContact(std::size_t First, Effects &Out);

  RegistrySubscriptionState State_;
  ReceivedConfiguration Configuration_;
  std::optional<HeldContact> HeldContact_;
};

} // namespace jaybridge
