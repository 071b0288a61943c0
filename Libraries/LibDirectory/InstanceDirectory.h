#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Random.h>
#include <LibCore/Result.h>
#include <LibDirectory/LeafRegistrars.h>
#include <LibDirectory/LeaseTable.h>
#include <LibDirectory/RecordTable.h>

#include <set>

namespace jaybridge {

struct InstanceDirectorySettings {
  MemberId Self_;
  FailureDomain Domain_;
  HomeCount HomesPerFailureDomain_{1};
  /// Different in each run of the daemon.
  RandomSeed Seed_;
};

/// Replicated directory of the instances, based on epidemic algorithms (Demers
/// et al. 1987). Rumor mongering pushes changes to a few random members at
/// once. Anti-entropy compares the directory with a random peer every
/// `DigestInterval` and repairs differences by a descent of the hash tree.
/// Lease renewals are sent only to the two registrars of an instance.
class InstanceDirectory {
public:
  using Event = std::variant<FromMember<DirectoryMessage>, InstanceAnnounced,
                             InstanceLoadReported, MemberChanged>;
  using Effect = std::variant<SendToMember<DirectoryMessage>, InstanceUpdated,
                              AnnouncementAnswered, ConfirmationChanged,
                              LoadReportReceived>;

  static constexpr Duration DigestInterval = 500ms;
  /// The directory is unconfirmed this long after the sending of the last
  /// answered digest: three digest intervals.
  static constexpr Duration ConfirmationTimeout = 1500ms;
  /// Number of members that each daemon forwards a rumor to. Rumors reach 98 of
  /// 100 daemons, and anti-entropy reaches the others.
  static constexpr std::size_t RumorFanout = 4;
  static constexpr Duration RumorDelay = 20ms;
  /// A changed record is listed in digests for this long.
  static constexpr Duration RecentChangeDuration = 10s;
  static constexpr std::size_t MaxRecentChanges = 32;
  static constexpr std::size_t MaxQueuedRumors = 4096;
  static constexpr std::size_t MaxRecordsPerMessage = 32;
  /// Bounds the record digests of one descent to 4 KB.
  static constexpr std::size_t MaxDigestsPerDescent = 256;
  /// A descent that exchanges at least this many records is followed by another
  /// without waiting for `DescentInterval`.
  static constexpr std::size_t MinRecordsForImmediateDescent = 8;
  /// A descent starts when the recent changes do not explain a difference, or
  /// when the last one is this old while there is a difference.
  static constexpr Duration DescentInterval = 5s;
  static constexpr Duration PageTimeout = 1s;
  static constexpr std::size_t MaxLoadReportCopies = 4;
  /// Time that renewals wait to be batched per registrar.
  static constexpr Duration RenewalDelay = 500ms;
  static constexpr std::size_t MaxQueuedRenewals = 20'000;
  /// A timer that is later than this shows that the daemon was paused.
  static constexpr Duration FreezeTolerance = 500ms;

  static Result<InstanceDirectory> create(InstanceDirectorySettings Settings);

  void handle(const Event &Received, TimePoint Now,
              std::vector<Effect> &Effects);
  void advance(TimePoint Now, std::vector<Effect> &Effects);
  std::optional<TimePoint> nextDeadline() const;

  const RecordTable &records() const { return Table_; }
  const LeaseTable &leases() const { return Leases_; }
  /// True after all records of a peer have been loaded.
  bool isLoaded() const { return IsLoaded_; }
  bool isConfirmed() const { return IsConfirmed_; }

private:
  using Effects = std::vector<Effect>;
  enum class RecordOrigin { InitialLoad, Repair, Rumor };

  explicit InstanceDirectory(InstanceDirectorySettings Settings,
                             ServiceHomes Homes);

  void receive(const MemberId &From, const RecordExchange &Exchange,
               TimePoint Now, Effects &Out);
  void receive(const MemberId &From, const DirectoryDigest &Digest,
               TimePoint Now, Effects &Out);
  void receive(const MemberId &From, const DirectoryDigestResponse &Response,
               TimePoint Now, Effects &Out);
  void receive(const MemberId &From, const GroupDigests &Digests, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const LeafDigests &Digests, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const RangeDigests &Range, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const RecordsRequest &Request,
               TimePoint Now, Effects &Out);
  void receive(const MemberId &From, const RecordsPage &Page, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const LeaseRenewals &Renewals,
               TimePoint Now, Effects &Out);
  void receive(const MemberId &From, const LeaseStatusRequest &Request,
               TimePoint Now, Effects &Out);
  void receive(const MemberId &From, const LeaseStatusResponse &Response,
               TimePoint Now, Effects &Out);
  void receive(const MemberId &From, const LoadReport &Report, TimePoint Now,
               Effects &Out);
  void announce(const InstanceRecord &Record, TimePoint Now, Effects &Out);
  void forwardLoadReport(const LoadReport &Report, Effects &Out);
  void updateMember(const MemberRecord &Record, TimePoint Now);

  /// Stores the record if it is newer, emits the change, and queues it for
  /// gossip unless it comes from the initial load. True when stored.
  bool apply(const InstanceRecord &Record, RecordOrigin Origin, TimePoint Now,
             Effects &Out);
  void sendRequestedRecords(const MemberId &To,
                            const std::vector<RecordKey> &Keys, Effects &Out);
  /// Compares digests of a peer with the own ones. The result repairs both
  /// directories.
  RecordExchange compareDigests(const std::vector<KeyDigest> &PeerDigests,
                                const std::vector<KeyDigest> &OwnDigests) const;
  void renew(RecordKey Key, TimePoint Now);
  void markLapsed(RecordKey Key, TimePoint Now, Effects &Out);
  void checkLeases(TimePoint Now, Effects &Out);
  void updateLeaseOwnership(TimePoint Now);
  void sendDigest(TimePoint Now, Effects &Out);
  void sendRumors(TimePoint Now, Effects &Out);
  void sendRenewals(Effects &Out);
  void requestPage(TimePoint Now, Effects &Out);
  void updateConfirmation(TimePoint Now, Effects &Out);
  std::vector<KeyDigest> recentKeyDigests() const;
  std::optional<MemberId> randomPeer();
  void send(const MemberId &To, DirectoryMessage Message, Effects &Out) const;

  MemberId Self_;
  FailureDomain Domain_;
  Random Random_;
  ServiceHomes Homes_;
  std::vector<MemberId> Peers_;
  bool HasHadPeers_ = false;
  RecordTable Table_;
  LeafRegistrars Registrars_;
  LeaseTable Leases_;

  std::set<RecordKey> RumorKeys_;
  std::optional<TimePoint> NextRumorAt_;
  std::deque<std::pair<TimePoint, RecordKey>> RecentChanges_;
  std::map<MemberId, std::set<RecordKey>> Renewals_;
  std::size_t RenewalCount_ = 0;

  DigestRound Round_;
  TimePoint RoundSentAt_;
  std::optional<TimePoint> ConfirmedAt_;
  bool IsConfirmed_ = false;
  TimePoint NextDigestAt_;
  TimePoint NextDescentAt_;

  bool IsLoaded_ = false;
  std::optional<RecordKey> LastLoadedKey_;
  std::optional<TimePoint> PageDeadline_;
  bool HasStarted_ = false;
};

static_assert(DecisionRole<InstanceDirectory>);

} // namespace jaybridge
