#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Result.h>
#include <LibMembership/MemberTable.h>

namespace jaybridge {

struct MembershipDraft {
  /// The own record; its incarnation must exceed that of earlier runs.
  MemberRecord Self_;
  std::vector<Endpoint> Seeds_;
  /// Different in each run of the daemon.
  RandomSeed Seed_;
};

/// Failure detection by random probes with indirect confirmation and bounded
/// piggyback (SWIM, Das et al. 2002), and local health from Lifeguard
/// (Dadgar et al. 2018): a daemon that hears little doubts itself first.
class Membership {
public:
  using Event = std::variant<FromMember<MembershipMessage>, LeaveRequested>;
  using Effect = std::variant<SendToMember<MembershipMessage>, SendToEndpoint,
                              MemberChanged, LeaveFinished>;

  static constexpr Duration ProbePeriod = 1s;
  /// Above the round trip between regions.
  static constexpr Duration AnswerTimeout = 300ms;
  static constexpr std::size_t IndirectProbes = 3;
  /// A suspicion lasts this many probe periods times the decimal digits of
  /// the fleet's size, of which there are at least two.
  static constexpr std::size_t SuspicionFactor = 3;
  /// Before a suspicion ends, every member asks so often whether it is still
  /// current. With one check, 2 of 78 fleets at 5% loss had a false death.
  static constexpr std::size_t SuspicionChecks = 2;
  /// Of the questions of a fleet, about this many go to the suspect itself.
  static constexpr std::size_t DirectChecks = 16;
  /// An update is sent this many times the decimal digits of the fleet's
  /// size; buckets repair what is still missed.
  static constexpr std::size_t TransmissionFactor = 3;
  static constexpr std::size_t GreatestPiggyback = 6;
  static constexpr std::size_t GreatestQueue = 1024;
  static constexpr std::size_t GreatestRelays = 64;
  static constexpr std::size_t GreatestSeeds = 32;
  static constexpr std::size_t PageSize = 64;
  static constexpr std::size_t GreatestHealthPenalty = 8;
  /// A timer that is this late shows that the daemon itself stood still.
  static constexpr Duration FreezeTolerance = 500ms;
  static constexpr Duration JoinPeriod = 1s;
  /// A seed that is not a live member, or a dead member, is asked this often,
  /// so that the sides of a healed partition meet.
  static constexpr Duration ReunionPeriod = 10s;
  static constexpr Duration RepairPeriod = 1s;
  static constexpr std::size_t LeaveFanOut = 8;
  static constexpr Duration LeavePeriod = 1s;

  static Result<Membership> create(MembershipDraft Draft);

  void handle(const Event &Happened, TimePoint Now,
              std::vector<Effect> &Effects);
  void advance(TimePoint Now, std::vector<Effect> &Effects);
  std::optional<TimePoint> nextDeadline() const;

  const MemberRecord &self() const { return Self_; }
  const MemberTable &others() const { return Table_; }
  /// Times that this daemon doubted itself; 0 is healthy.
  EventCount healthPenalty() const { return EventCount(Penalty_); }

private:
  using Effects = std::vector<Effect>;
  struct Probe {
    MemberId Target_;
    ProbeNumber Number_;
    TimePoint AnswerBy_;
    bool IsIndirect_ = false;
    std::size_t Asked_ = 0;
    std::size_t Answered_ = 0;
  };
  struct Relay {
    MemberId Asker_;
    ProbeNumber AskerNumber_;
    ProbeNumber Number_;
    TimePoint AnswerBy_;
  };
  struct Queued {
    MemberRecord Record_;
    std::size_t Sent_ = 0;
  };

  explicit Membership(MembershipDraft Draft);

  void receive(const MemberId &From, const Ping &Got, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const PingAck &Got, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const IndirectPing &Got, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const IndirectPingResult &Got,
               TimePoint Now, Effects &Out);
  void receive(const MemberId &From, const MembersRequest &Got, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const MembersPage &Got, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const BucketRecords &Got, TimePoint Now,
               Effects &Out);

  void apply(const MemberRecord &Record, TimePoint Now, Effects &Out);
  void apply(const MemberUpdates &Records, TimePoint Now, Effects &Out);
  void refute(const MemberRecord &Claim);
  void noticeFreeze(TimePoint Now);
  void beginProbe(TimePoint Now, Effects &Out);
  void probeIndirectly(TimePoint Now, Effects &Out);
  void concludeProbe(TimePoint Now, Effects &Out);
  void checkSuspicion(const MemberRecord &Suspected, TimePoint Now,
                      Effects &Out);
  void contactSeeds(TimePoint Now, Effects &Out);
  void leave(TimePoint Now, Effects &Out);
  void enqueue(const MemberRecord &Record);
  /// Updates for a message to `To`; leads with the record that `To` must
  /// refute, if any.
  MemberUpdates updatesFor(const MemberId &To);
  void correct(const MemberUpdates &Claims, MemberUpdates &Answer) const;
  std::vector<MemberId> randomLive(std::size_t Count, const MemberId &Except);
  std::optional<MemberId> nextTarget();
  std::size_t fleetFactor() const;
  Duration suspicionTerm() const;
  Duration stretched(Duration Base) const;
  void penalize();

  MemberRecord Self_;
  std::vector<Endpoint> Seeds_;
  Random Numbers_;
  MemberTable Table_;
  std::vector<MemberId> ProbeOrder_;
  std::vector<Queued> Queue_;
  std::optional<Probe> Probe_;
  std::vector<Relay> Relays_;
  /// Questions asked about each suspected member.
  std::map<MemberId, std::size_t> Checks_;
  ProbeNumber LastProbe_;
  std::size_t Penalty_ = 0;
  TimePoint NextProbeAt_;
  TimePoint NextContactAt_;
  TimePoint NextRepairAt_;
  std::optional<TimePoint> LeaveUntil_;
  bool HasStarted_ = false;
  bool HasLeft_ = false;
};

static_assert(DecisionRole<Membership>);

} // namespace jaybridge
