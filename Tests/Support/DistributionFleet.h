#pragma once

#include <LibDirectory/ConfigurationDistributor.h>
#include <Support/MembershipFleet.h>

namespace jaybridge {

/// Delivers the messages and checks that the applied versions rise: by one with
/// an entry, by any number with a snapshot.
struct DistributionRecorder {
  std::map<MemberId, ConfigurationVersion> AppliedVersions_;
  /// Number of versions that were applied out of order.
  std::size_t OutOfOrderVersions_ = 0;
  std::size_t SnapshotsApplied_ = 0;
  /// Members that reported that their configuration is up to date.
  std::set<MemberId> UpToDateMembers_;

  void operator()(Simulation<ConfigurationDistributor> &Sim,
                  const MemberId &From,
                  const ConfigurationDistributor::Effect &Emitted) {
    auto RecordApplied = [&](ConfigurationVersion Version, bool IsSnapshot) {
      bool IsNext = Version == AppliedVersions_[From].next();
      OutOfOrderVersions_ +=
          Version <= AppliedVersions_[From] || (!IsNext && !IsSnapshot) ? 1 : 0;
      AppliedVersions_[From] = Version;
    };
    std::visit(
        Overloaded{
            [&](const SendToMember<DistributionMessage> &Effect) {
              Sim.send(From, Effect.To_,
                       FromMember<DistributionMessage>{From, Effect.Message_});
            },
            [&](const EntryApplied &Effect) {
              RecordApplied(Effect.Version_, false);
            },
            [&](const SnapshotApplied &Effect) {
              ++SnapshotsApplied_;
              RecordApplied(Effect.Version_, true);
            },
            [&](const SnapshotNeeded &) {
              Sim.inject(From,
                         SnapshotProvided{AppliedVersions_[From],
                                          snapshotAt(AppliedVersions_[From])});
            },
            [&](const ConfigurationUpToDate &) {
              UpToDateMembers_.insert(From);
            }},
        Emitted);
  }
  /// Snapshot of 100 kB, large next to the entries.
  static ConfigurationBytes snapshotAt(ConfigurationVersion Version) {
    return ConfigurationBytes(std::string(100'000, 's') +
                              std::to_string(Version.value()));
  }
};

/// A simulated fleet that distributes configuration versions. All members know
/// each other; member 0 commits.
struct DistributionFleet {
  std::size_t Count_;
  DistributionRecorder Recorder_;
  Simulation<ConfigurationDistributor> Simulation_;

  DistributionFleet(std::size_t Count, LinkFaults Faults, RandomSeed Seed)
      : Count_(Count),
        Simulation_(
            [this](auto &Sim, const auto &From, const auto &Emitted) {
              Recorder_(Sim, From, Emitted);
            },
            Faults, Seed) {
    for (std::size_t I = 0; I < Count; ++I)
      start(I, 1);
  }
  DistributionFleet(const DistributionFleet &) = delete;
  DistributionFleet &operator=(const DistributionFleet &) = delete;

  /// Starts or restarts a member. Each run has a seed of its own.
  void start(std::size_t Number, std::uint64_t RunNumber) {
    MemberId Id = memberIdFor(Number);
    Recorder_.AppliedVersions_.erase(Id);
    Recorder_.UpToDateMembers_.erase(Id);
    Simulation_.start(Id, ConfigurationDistributor::create(
                              {Id, memberRecordFor(Number).Domain_,
                               RandomSeed(1000 * RunNumber + Number)})
                              .takeValue());
    for (std::size_t Other = 0; Other < Count_; ++Other)
      Simulation_.inject(Id, MemberChanged{memberRecordFor(Other)});
  }
  void commit(std::uint64_t Version) {
    Simulation_.inject(
        memberIdFor(0),
        EntryCommitted{ConfigurationVersion(Version),
                       ConfigurationBytes(std::string(200, 'e'))});
  }
  /// Number of members whose current version is this one.
  std::size_t countMembersAt(std::uint64_t Version) {
    std::size_t Count = 0;
    for (const MemberId &Id : Simulation_.members())
      Count += Simulation_.role(Id).currentVersion().value() == Version ? 1 : 0;
    return Count;
  }
};

} // namespace jaybridge
