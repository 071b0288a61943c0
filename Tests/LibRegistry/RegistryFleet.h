#pragma once

#include <LibRegistry/ControlService.h>
#include <LibRegistry/RegistrySubscription.h>
#include <LibReplication/LogRecovery.h>
#include <LibWire/RegistryCodec.h>

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace jaybridge {

/// Parses "HOST SERVICE" lines into a route for each host, all with the prefix
/// "/".
struct LineDocument {
  static Result<RoutingTable> read(const std::string &Text);
  /// The service name "NAME:RATE" gives a team of that name a limit, with the
  /// same burst.
  static TeamLimits readTeamLimits(const std::string &Text);
};

/// Reads the documents that the subscription requested and appends the effects,
/// as the thread of a daemon does.
void answerReads(RegistrySubscription &Subscription, TimePoint Now,
                 std::vector<RegistrySubscriptionEffect> &Effects);

/// Simulates control members and gateways in logical time. Messages have a
/// constant latency, and writes are synced at once. Members can be stopped,
/// started with or without their data folder, and partitioned from each other.
class RegistryFleet {
public:
  using Control = ControlService<RegistryWireCodec, LineDocument>;
  using Gateway = RegistrySubscription;

  static constexpr Duration MessageLatency = 1ms;
  static constexpr Duration TimeStep = 10ms;
  /// Time between the end of a process and its next start.
  static constexpr Duration RestartDelay = 500ms;

  /// The first three members are the seeds.
  RegistryFleet(std::size_t MemberCount, std::size_t GatewayCount);

  static MemberId member(std::size_t Index);
  static MemberId gateway(std::size_t Index);
  /// Members and gateways are assigned to failure domains by index.
  static constexpr std::size_t DomainCount = 3;
  static FailureDomain domain(std::size_t Index);

  /// Routes of a configuration, of which one goes to the given service. Long
  /// enough that a change of it is stored as a delta.
  static std::string routes(const std::string &ChangedService);

  void run(Duration Time);
  /// Runs until a leader is elected and announces the instance to it.
  void electAndAnnounce(const InstanceRecord &Instance);
  void stopMember(std::size_t Index);
  void startMember(std::size_t Index, bool IsFirstStart = false);
  /// Replaces the member's data folder by an empty one.
  void loseFolder(std::size_t Index);
  /// While its disk is full a member stops with each write. It restarts with
  /// what it had stored.
  void setDiskFull(std::size_t Index, bool IsFull) {
    Members_[Index].IsDiskFull_ = IsFull;
  }
  /// Adds a stopped member with an empty data folder and a new address, and
  /// returns its index.
  std::size_t addMember();
  /// Adds and starts a gateway without any data, and returns its index.
  std::size_t addGateway();
  void setPartitioned(const MemberId &Left, const MemberId &Right,
                      bool IsPartitioned);

  /// Makes the connections of all gateways to all members end with the next
  /// message, as after a restart of the members.
  void breakConnections();

  ControlRequestId announce(std::size_t Member, const InstanceRecord &Record);
  /// The instance leaves, without naming its start.
  ControlRequestId depart(std::size_t Member, const InstanceId &Instance);
  ControlRequestId writeDocument(std::size_t Member, std::uint64_t Version,
                                 const std::string &Text);
  ControlRequestId readDocument(std::size_t Member);
  /// Returns the answer to a request, or null if there is none yet.
  const ControlReplyBody *answer(ControlRequestId Request) const;
  template <typename Body> bool hasAnswer(ControlRequestId Request) const {
    const ControlReplyBody *Found = answer(Request);
    return Found && std::holds_alternative<Body>(*Found);
  }

  /// Reports the outcome of an attempt to the gateway.
  void finishAttempt(std::size_t Gateway, const ReportAttempt &Attempt);
  void spendRetry(std::size_t Gateway, const ServiceName &Service);
  void requestTokens(std::size_t Gateway, TokenRequest Request);
  /// What the gateway received since the last call.
  std::vector<TokenGrant> takeGrants(std::size_t Gateway) {
    return std::exchange(Views_[Gateway].Grants_, {});
  }
  TimePoint now() const { return Now_; }

  /// Updates with the whole registry that members sent to gateways.
  std::size_t fullUpdateCount() const { return FullUpdateCount_; }
  /// Updates with a whole configuration that members sent to single gateways.
  std::size_t wholeDocumentCount() const { return WholeDocumentCount_; }
  /// Reports of attempts that members sent to their leader.
  std::size_t followerReportCount() const { return FollowerReportCount_; }
  /// Times that the ejected instances changed at the member.
  std::size_t ejectionChangeCount(std::size_t Index) const {
    return Members_[Index].EjectionChangeCount_;
  }

  /// Returns the index of the leader, or the number of members if there is
  /// none.
  std::size_t leader() const;
  const Control *control(std::size_t Index) const {
    return Members_[Index].Running_.get();
  }
  std::size_t voterCount() const;

  /// The state of a gateway as it results from the effects of its subscription.
  struct View {
    ConfigurationVersion Version_;
    std::map<InstanceId, InstanceState> Instances_;
    std::optional<MemberId> FollowedMember_;
    EventCount RetriesGranted_;
    FingerprintsQuarantined CrashingRequests_;
    std::vector<TokenGrant> Grants_;
    std::map<ServiceName, std::vector<InstanceId>> Ejected_;
  };
  const View &view(std::size_t Index) const { return Views_[Index]; }

private:
  struct Member {
    /// Null while the member is stopped.
    std::unique_ptr<Control> Running_;
    std::unique_ptr<LogRecovery> Folder_;
    FolderGeneration Generation_;
    bool IsDiskFull_ = false;
    std::optional<TimePoint> RestartAt_;
    std::size_t EjectionChangeCount_ = 0;
  };
  struct Message {
    TimePoint DeliverAt_;
    MemberId From_;
    MemberId To_;
    std::variant<ReplicationMessage, SubscriptionMessage> Body_;
  };

  void handle(std::size_t Index, const ControlEvent &Event);
  void handle(std::size_t Index, const RegistrySubscriptionEvent &Event);
  void deliver(std::size_t Index, std::vector<ControlEffect> Effects);
  void deliver(std::size_t Index,
               std::vector<RegistrySubscriptionEffect> Effects);
  void receive(const Message &Received);
  bool isPartitioned(const MemberId &From, const MemberId &To) const;
  RecoveredLog recover(Member &Restarted);

  TimePoint Now_{1h};
  std::size_t FullUpdateCount_ = 0;
  std::size_t WholeDocumentCount_ = 0;
  std::size_t FollowerReportCount_ = 0;
  /// From a gateway to a member.
  std::set<std::pair<MemberId, MemberId>> BrokenConnections_;
  std::vector<Member> Members_;
  std::vector<std::vector<PersistLog>> Writes_;
  std::vector<std::unique_ptr<Gateway>> Gateways_;
  std::vector<View> Views_;
  std::deque<Message> Messages_;
  std::set<std::pair<MemberId, MemberId>> Partitions_;
  std::map<ControlRequestId, ControlReplyBody> Answers_;
  ControlRequestId LastRequest_;
  std::uint64_t LastGeneration_ = 0;
};

} // namespace jaybridge
