#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Result.h>
#include <LibMembership/MemberTable.h>

namespace jaybridge {

struct MembershipSettings {
  /// Record of this daemon. Its incarnation must exceed all earlier ones.
  MemberRecord Self_;
  /// Addresses to contact in order to join the fleet.
  std::vector<Endpoint> Seeds_;
  /// Must differ between starts of the daemon.
  RandomSeed Seed_;
};

/// Group membership and failure detection by SWIM (Das et al. 2002): random
/// probes, indirect probes, and updates that are piggybacked on the messages.
/// Uses the local health of Lifeguard (Dadgar et al. 2018): a daemon that
/// receives few replies slows its own probes down before it suspects others.
class Membership {
public:
  using Event = std::variant<FromMember<MembershipMessage>, LeaveRequested>;
  using Effect = std::variant<SendToMember<MembershipMessage>, SendToEndpoint,
                              MemberChanged, LeaveFinished>;

  /// Protocol period of SWIM: one member is probed per interval.
  static constexpr Duration ProbeInterval = 1s;
  /// Longer than the round trip between regions.
  static constexpr Duration AckTimeout = 300ms;
  /// Number of members that are asked to probe a target that did not
  /// acknowledge.
  static constexpr std::size_t IndirectProbeCount = 3;
  /// A suspicion lasts this many probe intervals times the number of decimal
  /// digits of the fleet size, but at least two digits.
  static constexpr std::size_t SuspicionMultiplier = 3;
  /// Before a suspicion times out, every member checks this many times whether
  /// it is still current. With one check, 2 of 78 fleets with 5% message loss
  /// declared a live member dead.
  static constexpr std::size_t SuspicionCheckCount = 2;
  /// Expected number of members of the fleet that send a check to the suspected
  /// member itself.
  static constexpr std::size_t ExpectedDirectCheckCount = 16;
  /// An update is piggybacked this many times per decimal digit of the fleet
  /// size. Members that miss it anyway are repaired by comparing buckets.
  static constexpr std::size_t RetransmitMultiplier = 3;
  static constexpr std::size_t MaxPiggybackedUpdates = 6;
  static constexpr std::size_t MaxQueuedUpdates = 1024;
  /// Limit of the indirect probes in progress for other members.
  static constexpr std::size_t MaxRelays = 64;
  static constexpr std::size_t MaxSeeds = 32;
  static constexpr std::size_t MembersPerPage = 64;
  static constexpr std::size_t MaxHealthPenalty = 8;
  /// A timer that is later than this shows that the daemon itself was
  /// paused.
  static constexpr Duration PauseTolerance = 500ms;
  /// Interval of contacting seeds while no live member is known.
  static constexpr Duration JoinInterval = 1s;
  /// Interval of contacting an absent seed and a dead member otherwise, so that
  /// the sides of a partition merge after it has healed.
  static constexpr Duration ReconnectInterval = 10s;
  static constexpr Duration MinRepairInterval = 1s;
  /// Number of members that are notified when this daemon leaves.
  static constexpr std::size_t LeaveFanout = 8;
  /// Time from the notification until LeaveFinished.
  static constexpr Duration LeaveDuration = 1s;

  /// Error when the id or failure domain is empty, the state is not Alive or
  /// there are more than MaxSeeds seeds.
  static Result<Membership> create(MembershipSettings Settings);

  void handle(const Event &Incoming, TimePoint Now,
              std::vector<Effect> &Effects);
  /// Sends the probes and handles the timeouts that are due.
  void advance(TimePoint Now, std::vector<Effect> &Effects);
  std::optional<TimePoint> nextDeadline() const;

  const MemberRecord &self() const { return Self_; }
  const MemberTable &others() const { return Table_; }
  /// Local health of Lifeguard, 0 to MaxHealthPenalty; 0 is healthy.
  EventCount healthPenalty() const { return EventCount(HealthPenalty_); }

private:
  using Effects = std::vector<Effect>;
  /// The probe that this daemon has in progress.
  struct Probe {
    MemberId Target_;
    ProbeNumber Number_;
    TimePoint AckDeadline_;
    bool IsIndirect_ = false;
    /// Members asked to probe indirectly, and those that reported a failure.
    std::size_t RequestCount_ = 0;
    std::size_t FailureCount_ = 0;
  };
  /// An indirect probe in progress for another member.
  struct Relay {
    MemberId Requester_;
    ProbeNumber RequesterProbe_;
    ProbeNumber Number_;
    TimePoint AckDeadline_;
  };
  /// An update to piggyback, and how often that was done.
  struct QueuedUpdate {
    MemberRecord Record_;
    std::size_t SendCount_ = 0;
  };

  explicit Membership(MembershipSettings Settings);

  void receive(const MemberId &From, const Ping &Message, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const PingAck &Message, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const IndirectPing &Message, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const IndirectPingResult &Message,
               TimePoint Now, Effects &Out);
  void receive(const MemberId &From, const MembersRequest &Message,
               TimePoint Now, Effects &Out);
  void receive(const MemberId &From, const MembersPage &Message, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const BucketRecords &Message,
               TimePoint Now, Effects &Out);

  void apply(const MemberRecord &Record, TimePoint Now, Effects &Out);
  void apply(const MemberUpdates &Records, TimePoint Now, Effects &Out);
  void refute(const MemberRecord &Received);
  void handleProcessPause(TimePoint Now);
  void startProbe(TimePoint Now, Effects &Out);
  void probeIndirectly(TimePoint Now, Effects &Out);
  void finishProbe(TimePoint Now, Effects &Out);
  void checkSuspicion(const MemberRecord &Suspected, TimePoint Now,
                      Effects &Out);
  void contactSeeds(TimePoint Now, Effects &Out);
  void leave(TimePoint Now, Effects &Out);
  void enqueue(const MemberRecord &Record);
  /// Updates to piggyback on a message to `To`. Starts with the record of `To`
  /// if it is not Alive, so that `To` can refute it.
  MemberUpdates updatesFor(const MemberId &To);
  void appendCorrections(const MemberUpdates &Received,
                         MemberUpdates &Reply) const;
  std::vector<MemberId> randomLiveMembers(std::size_t Count,
                                          const MemberId &Excluded);
  std::optional<MemberId> nextProbeTarget();
  /// Decimal digits of the number of live members including this one; at
  /// least 2.
  std::size_t fleetSizeDigits() const;
  Duration suspicionTimeout() const;
  /// `Base` extended by the health penalty (Lifeguard).
  Duration scaledByHealth(Duration Base) const;
  void increaseHealthPenalty();

  MemberRecord Self_;
  std::vector<Endpoint> Seeds_;
  Random Random_;
  MemberTable Table_;
  /// Members still to be probed in this round, the next one last.
  std::vector<MemberId> ProbeOrder_;
  /// Sorted by SendCount_, so that new updates are sent first.
  std::vector<QueuedUpdate> UpdateQueue_;
  std::optional<Probe> Probe_;
  std::vector<Relay> Relays_;
  /// Checks that were made of each suspected member.
  std::map<MemberId, std::size_t> CheckCounts_;
  ProbeNumber LastProbeNumber_;
  std::size_t HealthPenalty_ = 0;
  TimePoint NextProbeAt_;
  TimePoint NextContactAt_;
  TimePoint NextRepairAt_;
  std::optional<TimePoint> LeaveDeadline_;
  bool HasStarted_ = false;
  bool HasLeft_ = false;
};

static_assert(DecisionRole<Membership>);

} // namespace jaybridge
