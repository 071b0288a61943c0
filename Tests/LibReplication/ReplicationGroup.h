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

/// Simulates the members of one log in logical time. Messages have random
/// delays, links can be cut in one direction, and members can be killed, frozen
/// and lose their disks. Checks at each commit that all members apply the same
/// commands.
class ReplicationGroup {
public:
  ReplicationGroup(std::size_t Size, std::uint64_t Seed);

  static MemberId id(std::size_t Member);
  void run(Duration Span);
  /// Runs until the predicate holds or Span has passed; returns whether it
  /// holds.
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
  /// Adds and starts a member that is not configured at the others.
  std::size_t addMember();

  bool isUp(std::size_t Member) const {
    return Members_[Member].Log_ != nullptr;
  }
  ReplicatedLog &log(std::size_t Member) { return *Members_[Member].Log_; }
  std::size_t size() const { return Members_.size(); }
  /// The running leader with the highest term.
  std::optional<std::size_t> leader() const;

  /// Returns the id of the proposal, which is its key in `proposalResponses()`.
  ProposalId propose(std::size_t Member, ConfigurationChange Change);
  ReadId read(std::size_t Member);
  void replace(std::size_t Leader, std::optional<MemberId> Leaving,
               MemberId Joining);
  void failSync(std::size_t Member);

  const ConfigurationCatalog &catalog(std::size_t Member) const {
    return Members_[Member].Catalog_;
  }
  const std::map<ProposalId, ProposalResponse> &proposalResponses() const {
    return ProposalResponses_;
  }
  const std::map<ReadId, ReadIndexResponse> &readResponses() const {
    return ReadResponses_;
  }
  /// Commands committed by any member, by index.
  const std::map<LogIndex, std::string> &committed() const {
    return Committed_;
  }
  std::size_t snapshotsInstalled(std::size_t Member) const {
    return Members_[Member].SnapshotsInstalled_;
  }
  /// Expects that every running member has applied all committed commands, and
  /// that these contain every change that was answered as committed.
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
    std::uint64_t RunNumber_ = 0;
    bool IsFrozen_ = false;
  };
  struct PendingEvent {
    std::size_t To_ = 0;
    std::uint64_t RunNumber_ = 0;
    std::optional<std::size_t> From_;
    ReplicationEvent Event_;
    std::optional<PersistLog> Write_;
  };

  void deliver(PendingEvent Scheduled);
  void deliverEvent(std::size_t Member, const ReplicationEvent &Event);
  void advanceMember(std::size_t Member);
  template <typename Function>
  void runAndCheckMembership(std::size_t Member, Function Call);
  void performEffects(std::size_t Member, ReplicatedLog::Effects Effects);
  void transmit(std::size_t From, const SendReplication &Sent);
  void apply(std::size_t Member, LogIndex Index, const std::string &Payload);
  void schedule(Duration Delay, PendingEvent Scheduled);
  Duration randomDelay(std::uint64_t MaxMicroseconds);

  Random Random_;
  std::vector<MemberId> Configured_;
  TimePoint Now_{};
  std::vector<Replica> Members_;
  std::multimap<TimePoint, PendingEvent> Queue_;
  std::set<std::pair<std::size_t, std::size_t>> CutLinks_;
  std::map<std::string, ConfigurationChange> Changes_;
  std::map<LogIndex, std::string> Committed_;
  std::map<ConfigurationVersion, ChangeRequestId> AcceptedRequests_;
  std::map<ProposalId, std::string> Proposed_;
  std::map<ProposalId, ProposalResponse> ProposalResponses_;
  std::map<ReadId, ReadIndexResponse> ReadResponses_;
  std::uint64_t LastId_ = 0;
};

} // namespace jaybridge
