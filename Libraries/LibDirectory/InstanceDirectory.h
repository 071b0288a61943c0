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

/// Which instances exist. Changes are pushed to a few random members at once,
/// and each directory is compared with a random peer every `DigestInterval`
/// (epidemic algorithms, Demers et al. 1987). Renewals go to two registrars.
class InstanceDirectory {
public:
  using Event = std::variant<FromMember<DirectoryMessage>, InstanceAnnounced,
                             InstanceLoadReported, MemberChanged>;
  using Effect = std::variant<SendToMember<DirectoryMessage>, InstanceUpdated,
                              AnnouncementAnswered, ConfirmationChanged,
                              LoadReportReceived>;

  static constexpr Duration DigestInterval = 500ms;
  /// Time from the sending of the last answered digest after which the
  /// directory counts as unconfirmed: three digests.
  static constexpr Duration ConfirmationTimeout = 1500ms;
  /// Copies of a news record that each daemon sends; 98 of 100 daemons hear of
  /// it that way, and the digests reach the rest.
  static constexpr std::size_t RumorFanout = 4;
  static constexpr Duration RumorDelay = 20ms;
  /// A change is listed in digests for this long.
  static constexpr Duration RecentChangeDuration = 10s;
  static constexpr std::size_t MaxRecentChanges = 32;
  static constexpr std::size_t MaxQueuedRumors = 4096;
  static constexpr std::size_t RecordsPerMessage = 32;
  /// Bounds a descent to 4 KB of marks.
  static constexpr std::size_t MaxDigestsPerDescent = 256;
  /// A descent that exchanged so many records is followed by another at once.
  static constexpr std::size_t MinRecordsForImmediateDescent = 8;
  /// Groups are compared when nothing recent explains a difference, or at
  /// least this often while there is one.
  static constexpr Duration DescentInterval = 5s;
  static constexpr Duration PageTimeout = 1s;
  static constexpr std::size_t MaxLoadReportCopies = 4;
  /// Renewals wait this long for others to the same registrar.
  static constexpr Duration RenewalDelay = 500ms;
  static constexpr std::size_t MaxQueuedRenewals = 20'000;
  static constexpr Duration FreezeTolerance = 500ms;

  static Result<InstanceDirectory> create(InstanceDirectorySettings Draft);

  void handle(const Event &Received, TimePoint Now,
              std::vector<Effect> &Effects);
  void advance(TimePoint Now, std::vector<Effect> &Effects);
  std::optional<TimePoint> nextDeadline() const;

  const RecordTable &records() const { return Table_; }
  const LeaseTable &leases() const { return Leases_; }
  /// True after the records of a peer were loaded, or without any peer.
  bool isLoaded() const { return IsLoaded_; }
  bool isConfirmed() const { return IsConfirmed_; }

private:
  using Effects = std::vector<Effect>;
  enum class RecordOrigin { InitialLoad, Repair, Rumor };

  explicit InstanceDirectory(InstanceDirectorySettings Draft,
                             ServiceHomes Homes);

  void receive(const MemberId &From, const RecordExchange &Got, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const DirectoryDigest &Got, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const DirectoryDigestResponse &Got,
               TimePoint Now, Effects &Out);
  void receive(const MemberId &From, const GroupDigests &Got, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const LeafDigests &Got, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const RangeDigests &Got, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const RecordsRequest &Got, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const RecordsPage &Got, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const LeaseRenewals &Got, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const LeaseStatusRequest &Got,
               TimePoint Now, Effects &Out);
  void receive(const MemberId &From, const LeaseStatusResponse &Got,
               TimePoint Now, Effects &Out);
  void receive(const MemberId &From, const LoadReport &Got, TimePoint Now,
               Effects &Out);
  void announce(const InstanceRecord &Record, TimePoint Now, Effects &Out);
  void forwardLoadReport(const LoadReport &Hint, Effects &Out);
  void updateMember(const MemberRecord &Record, TimePoint Now);

  bool apply(const InstanceRecord &Record, RecordOrigin From, TimePoint Now,
             Effects &Out);
  void sendRequestedRecords(const MemberId &To, const std::vector<RecordKey> &Wanted,
                    Effects &Out);
  /// Compares marks of a peer with the own records; the result repairs both.
  RecordExchange compareDigests(const std::vector<KeyDigest> &Theirs,
                         const std::vector<KeyDigest> &Mine) const;
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
