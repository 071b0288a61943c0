#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Random.h>
#include <LibCore/Result.h>
#include <LibDirectory/DistributionMessages.h>

#include <deque>
#include <map>
#include <set>

namespace jaybridge {

struct ConfigurationDistributorSettings {
  MemberId Self_;
  FailureDomain Domain_;
  RandomSeed Seed_;
};

/// Distributes each committed configuration to every daemon by push-pull
/// gossip. A daemon that learns of a newer version fetches it from the member
/// that announced it and notifies a few random peers; periodic gossip reaches
/// the others. Versions only increase.
class ConfigurationDistributor {
public:
  using Event = std::variant<FromMember<DistributionMessage>, EntryCommitted,
                             SnapshotProvided, MemberChanged>;
  using Effect =
      std::variant<SendToMember<DistributionMessage>, EntryApplied,
                   SnapshotApplied, SnapshotNeeded, ConfigurationUpToDate>;

  static constexpr Duration GossipInterval = 1s;
  /// Maximum number of members that are notified immediately of a new version.
  static constexpr std::size_t GossipFanout = 4;
  static constexpr Duration FetchTimeout = 500ms;
  static constexpr std::size_t MaxEntriesPerChunk = 32;
  /// Size of a snapshot chunk. No further entry is added to a chunk of entries
  /// that has reached it.
  static constexpr std::size_t BytesPerChunk = 32'768;
  /// Limits of the entries kept for peers. A snapshot is requested from this
  /// daemon when either is half reached; the entries that it covers are then
  /// dropped down to a quarter of the limits.
  static constexpr std::size_t MaxEntries = 1024;
  static constexpr std::size_t MaxEntryBytes = 4'194'304;
  static constexpr std::size_t MaxSnapshotBytes = 67'108'864;
  /// Maximum number of versions of other members in one gossip message.
  static constexpr std::size_t MaxKnownVersionsPerGossip = 4;
  /// Failure domains that must respond before a restarted daemon is up to date,
  /// or all of them when there are fewer.
  static constexpr std::size_t MinRespondingDomains = 2;

  static Result<ConfigurationDistributor>
  create(ConfigurationDistributorSettings Settings);

  void handle(const Event &Received, TimePoint Now,
              std::vector<Effect> &Effects);
  void advance(TimePoint Now, std::vector<Effect> &Effects);
  std::optional<TimePoint> nextDeadline() const;

  ConfigurationVersion currentVersion() const { return CurrentVersion_; }
  bool isUpToDate() const { return IsUpToDate_; }
  /// Last known versions of this daemon and the live members, for a status
  /// command. They lag by the time gossip takes: with two messages per second,
  /// gossip covers 46 members in about 20 s. A restarted member is listed with
  /// its earlier version until it has caught up.
  std::vector<MemberVersion> memberVersions() const;

private:
  using Effects = std::vector<Effect>;
  struct Peer {
    FailureDomain Domain_;
    ConfigurationVersion Version_;
    bool HasResponded_ = false;
  };
  struct Download {
    MemberId From_;
    ConfigurationVersion Version_;
    SnapshotHash Hash_;
    std::string Bytes_;
  };

  explicit ConfigurationDistributor(ConfigurationDistributorSettings Settings);

  void receive(const MemberId &From, const VersionGossip &Gossip, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const EntriesRequest &Request,
               TimePoint Now, Effects &Out);
  void receive(const MemberId &From, const EntriesChunk &Chunk, TimePoint Now,
               Effects &Out);
  void receive(const MemberId &From, const SnapshotChunkRequest &Request,
               TimePoint Now, Effects &Out);
  void receive(const MemberId &From, const SnapshotChunk &Chunk, TimePoint Now,
               Effects &Out);
  void applyEntry(ConfigurationVersion Version, const ConfigurationBytes &Entry,
                  Effects &Out);
  void applySnapshot(ConfigurationVersion Version,
                     const ConfigurationBytes &Snapshot, Effects &Out);
  void storeSnapshot(ConfigurationVersion Version,
                     const ConfigurationBytes &Snapshot);
  void updateMember(const MemberRecord &Record, TimePoint Now);
  void recordVersion(const MemberVersion &Reported);
  void sendGossip(const MemberId &To, bool IsReplyRequested, Effects &Out);
  void notifyRandomPeers(Effects &Out);
  void requestMissing(const MemberId &From, TimePoint Now, Effects &Out);
  void checkUpToDate(Effects &Out);
  /// A random member. Until this daemon is up to date, prefers members of
  /// failure domains that have not responded yet.
  std::optional<MemberId> selectGossipPeer();
  /// The version that the first of the kept entries follows.
  ConfigurationVersion versionBeforeEntries() const;
  void send(const MemberId &To, DistributionMessage Message,
            Effects &Out) const;

  MemberId Self_;
  FailureDomain Domain_;
  Random Random_;
  std::map<MemberId, Peer> Peers_;
  std::vector<MemberId> PeerIds_;
  ConfigurationVersion CurrentVersion_;
  std::deque<ConfigurationBytes> Entries_;
  std::size_t EntryBytes_ = 0;
  bool IsSnapshotRequested_ = false;
  ConfigurationVersion SnapshotVersion_;
  ConfigurationBytes Snapshot_;
  SnapshotHash SnapshotHash_;
  std::optional<TimePoint> FetchDeadline_;
  std::optional<Download> Download_;
  bool IsUpToDate_ = false;
  TimePoint NextGossipAt_;
  bool HasStarted_ = false;
};

static_assert(DecisionRole<ConfigurationDistributor>);

} // namespace jaybridge
