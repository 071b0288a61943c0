#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Random.h>
#include <LibCore/Result.h>
#include <LibRegistry/SubscriptionMessages.h>
#include <LibRouting/GatewayMessages.h>

#include <concepts>
#include <map>
#include <set>

namespace jaybridge {

struct RegistrySubscriptionSettings {
  FailureDomain Domain_;
  /// Tells which members are likely near before their domains are known.
  Endpoint Self_;
  /// Control members to ask first.
  std::vector<MemberId> Seeds_;
  /// A member that was not heard for so long is left for another one. Three
  /// intervals of a control member's announcements.
  Duration ContactTimeout_ = 1200ms;
  /// Before the first contact: members start at about the same time.
  Duration FirstContactTimeout_ = 400ms;
  Duration RenewInterval_ = 1s;
  Duration ResynchronizeInterval_ = 500ms;
  /// A member in another failure domain is followed at least for so long, so
  /// that a nearer one that does not answer is not tried all the time.
  Duration SettleTime_ = 3s;
  /// How long outcomes wait to be reported together.
  Duration SuccessDelay_ = 1s;
  Duration FailureDelay_ = 20ms;
};

/// A gateway found or lost a control member that is up to date.
struct ControlMemberChanged {
  std::optional<MemberId> Member_;
};

using RegistrySubscriptionEvent =
    std::variant<SubscriptionReceived, ObserveAttempt, RetrySpent>;
using RegistrySubscriptionEffect =
    std::variant<SendSubscription, RoutingChanged, InstanceChanged,
                 EjectionsChanged, RetriesGranted, ControlMemberChanged>;

/// Reads the text of a configuration into the routing table that it states.
template <typename Reader>
concept DocumentReader = requires(const std::string &Text) {
  { Reader::read(Text) } -> std::same_as<Result<RoutingTable>>;
};

/// The part of the view that does not depend on how documents are written.
class RegistrySubscriptionState {
public:
  using Effects = std::vector<RegistrySubscriptionEffect>;

  RegistrySubscriptionState(RegistrySubscriptionSettings Settings,
                            RandomSeed Seed)
      : Settings_(std::move(Settings)), Random_(Seed) {}

  void advance(TimePoint Now, Effects &Out);
  std::optional<TimePoint> nextDeadline() const;
  void observe(const ObserveAttempt &Seen, TimePoint Now);
  /// Asks for a replacement with the next report.
  void spend(const RetrySpent &Spent, TimePoint Now);
  void replace(const RetriesGranted &Granted, Effects &Out);

  /// True when the update continues what is known and is to be applied.
  bool accepts(const MemberId &From, const RegistryUpdate &Update,
               TimePoint Now, Effects &Out);
  void applyInstances(const RegistryUpdate &Update, Effects &Out);
  void confirm(const MemberId &From, const RegistryHeartbeat &Said,
               TimePoint Now, Effects &Out);
  /// The member that is followed may be out of date.
  void leave(const MemberId &From, TimePoint Now, Effects &Out);
  void setVersion(ConfigurationVersion Version) { Version_ = Version; }
  ConfigurationVersion version() const { return Version_; }

private:
  void heard(const MemberId &From, TimePoint Now, Effects &Out);
  /// A member in the own failure domain is known and is not the one followed.
  bool hasNearerMember(TimePoint Now) const;
  void chooseNext(TimePoint Now, Effects &Out);
  /// Asks for what was missed, but not for each message that shows it.
  void resynchronize(TimePoint Now, Effects &Out);
  void subscribe(TimePoint Now, Effects &Out);
  void reportEvidence(Effects &Out);
  void applySuspects(const std::vector<InstanceId> &Suspects, TimePoint Now,
                     Effects &Out);
  std::vector<MemberId> candidates();
  /// Leading parts of the address that a member shares with this daemon.
  std::size_t commonPrefix(const MemberId &Member) const;

  RegistrySubscriptionSettings Settings_;
  Random Random_;
  std::vector<ControlMember> Members_;
  std::vector<MemberId> Untried_;
  std::optional<MemberId> Contact_;
  bool IsConfirmed_ = false;
  bool HadContact_ = false;
  TimePoint ConfirmedAt_{};
  TimePoint GiveUpAt_{};
  TimePoint NextRenewal_{};
  TimePoint ResynchronizeAt_{};
  LogIndex Revision_;
  ConfigurationVersion Version_;
  std::map<InstanceId, InstanceRecord> Instances_;
  std::map<ServiceName, std::vector<InstanceId>> EjectedInstances_;
  std::map<InstanceId, AttemptCounts> Evidence_;
  std::map<ServiceName, EventCount> SpentRetries_;
  std::optional<TimePoint> ReportAt_;
};

/// A gateway's view of the registry: it follows one control member that is up
/// to date, and keeps what it knows while there is none.
template <DocumentReader Reader> class RegistrySubscription {
public:
  using Event = RegistrySubscriptionEvent;
  using Effect = RegistrySubscriptionEffect;
  using Effects = std::vector<Effect>;

  RegistrySubscription(RegistrySubscriptionSettings Settings, RandomSeed Seed)
      : State_(std::move(Settings), Seed) {}

  void handle(const Event &Incoming, TimePoint Now, Effects &Out) {
    std::visit([&](const auto &Each) { on(Each, Now, Out); }, Incoming);
  }
  void advance(TimePoint Now, Effects &Out) { State_.advance(Now, Out); }
  std::optional<TimePoint> nextDeadline() const {
    return State_.nextDeadline();
  }

private:
  void on(const ObserveAttempt &Seen, TimePoint Now, Effects &) {
    State_.observe(Seen, Now);
  }
  void on(const RetrySpent &Spent, TimePoint Now, Effects &) {
    State_.spend(Spent, Now);
  }
  void on(const SubscriptionReceived &Received, TimePoint Now, Effects &Out) {
    if (const auto *Update = std::get_if<RegistryUpdate>(&Received.Message_)) {
      if (!State_.accepts(Received.From_, *Update, Now, Out))
        return;
      // Requests may wait for the routes; they need the instances then.
      State_.applyInstances(*Update, Out);
      if (Update->Document_)
        adopt(*Update->Document_, Out);
      if (Update->Delta_)
        adopt(*Update->Delta_, Out);
    } else if (const auto *Current =
                   std::get_if<RegistryHeartbeat>(&Received.Message_)) {
      State_.confirm(Received.From_, *Current, Now, Out);
    } else if (std::holds_alternative<RegistryStale>(Received.Message_)) {
      State_.leave(Received.From_, Now, Out);
    } else if (const auto *Granted =
                   std::get_if<RetriesGranted>(&Received.Message_)) {
      State_.replace(*Granted, Out);
    }
  }
  void adopt(const StoredDocument &Stored, Effects &Out) {
    if (Stored.Version_ <= State_.version())
      return;
    auto Read = Reader::read(Stored.Text_);
    // Documents are checked before they are accepted.
    JAYBRIDGE_VERIFY(Read.hasValue());
    State_.setVersion(Stored.Version_);
    Document_ = Stored;
    Out.emplace_back(
        RoutingChanged{std::make_shared<const RoutingTable>(Read.takeValue())});
  }

  void adopt(const DocumentDelta &Delta, Effects &Out) {
    if (!Document_ || Delta.Version_ <= Document_->Version_)
      return;
    auto Newer = applyDelta(*Document_, Delta);
    // Revisions are continuous, so the base is the document held.
    JAYBRIDGE_VERIFY(Newer.hasValue());
    adopt(Newer.value(), Out);
  }

  RegistrySubscriptionState State_;
  std::optional<StoredDocument> Document_;
};

} // namespace jaybridge
