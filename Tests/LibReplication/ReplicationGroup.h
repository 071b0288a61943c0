#pragma once

#include <LibProfile/ConfigurationCatalog.h>
#include <LibReplication/LogRecovery.h>
#include <LibReplication/ReplicatedLog.h>

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace jaybridge {

/// Members of one log joined by queues in logical time: messages and syncs take
/// random time, links can be cut in one direction, members can be killed,
/// frozen and lose their disks. Checks at each commit that all members apply
/// the same commands.
class ReplicationGroup {
public:
  ReplicationGroup(std::size_t Size, std::uint64_t Seed);

  static MemberId id(std::size_t Member);
  void run(Duration Span);
  /// Runs until Holds is true or Span is over; whether it became true.
  template <typename Predicate> bool runUntil(Duration Span, Predicate Holds) {
    TimePoint End = Now_ + Span;
    while (!Holds() && Now_ < End)
      run(std::chrono::milliseconds(10));
    return Holds();
  }

  void kill(std::size_t Member);
  void start(std::size_t Member);
  void loseDisk(std::size_t Member);
  void setFrozen(std::size_t Member, bool IsFrozen);
  void setCut(std::size_t From, std::size_t To, bool IsCut);
  void healAll();
  /// Adds a member that is not part of the group yet and starts it.
  std::size_t addMember();

  bool isUp(std::size_t Member) const {
    return Members_[Member].Log_ != nullptr;
  }
  ReplicatedLog &log(std::size_t Member) { return *Members_[Member].Log_; }
  std::size_t size() const { return Members_.size(); }
  /// The running leader of the greatest term that hears a majority.
  std::optional<std::size_t> leader() const;

  /// Returns the id under which the answer is kept.
  ProposalId propose(std::size_t Member, ConfigurationChange Change);
  ReadId read(std::size_t Member);
  void replace(std::size_t Leader, std::optional<MemberId> Leaving,
               MemberId Joining);
  void failSync(std::size_t Member);

  const ConfigurationCatalog &catalog(std::size_t Member) const {
    return Members_[Member].Catalog_;
  }
  const std::map<ProposalId, ProposalAnswer> &answers() const {
    return Answers_;
  }
  const std::map<ReadId, ReadAnswer> &reads() const { return ReadAnswers_; }
  /// Commands of the whole group, by index.
  const std::map<LogIndex, std::string> &committed() const {
    return Committed_;
  }
  std::size_t snapshotsInstalled(std::size_t Member) const {
    return Members_[Member].SnapshotsInstalled_;
  }
  /// Every running member applied all commands of the group, and every change
  /// that was answered as committed is among them.
  void expectAgreement();

private:
  struct Replica {
    MemberId Id_;
    FolderGeneration Generation_;
    std::vector<PersistLog> Disk_;
    std::unique_ptr<ReplicatedLog> Log_;
    ConfigurationCatalog Catalog_;
    std::vector<std::string> Applied_;
    std::size_t SnapshotsInstalled_ = 0;
    std::uint64_t Run_ = 0;
    bool IsFrozen_ = false;
  };
  struct Pending {
    std::size_t To_ = 0;
    std::uint64_t Run_ = 0;
    std::optional<std::size_t> From_;
    ReplicationEvent Event_;
    std::optional<PersistLog> Write_;
  };

  void deliver(Pending Item);
  void give(std::size_t Member, const ReplicationEvent &Event);
  void wake(std::size_t Member);
  template <typename Function> void observe(std::size_t Member, Function Call);
  void perform(std::size_t Member, ReplicatedLog::Effects Effects);
  void transmit(std::size_t From, const SendReplication &Sent);
  void apply(std::size_t Member, LogIndex Index, const std::string &Payload);
  void later(Duration Delay, Pending Item);
  Duration delay(std::uint64_t GreatestMicroseconds);

  Random Random_;
  std::vector<MemberId> Configured_;
  TimePoint Now_{};
  std::vector<Replica> Members_;
  std::multimap<TimePoint, Pending> Queue_;
  std::set<std::pair<std::size_t, std::size_t>> Cuts_;
  std::map<std::string, ConfigurationChange> Changes_;
  std::map<LogIndex, std::string> Committed_;
  std::map<ConfigurationVersion, ChangeRequestId> Winners_;
  std::map<ProposalId, std::string> Proposed_;
  std::map<ProposalId, ProposalAnswer> Answers_;
  std::map<ReadId, ReadAnswer> ReadAnswers_;
  std::uint64_t Numbers_ = 0;
};

} // namespace jaybridge
