#pragma once

#include <LibDirectory/ConfigurationDistributor.h>
#include <Support/MembershipFleet.h>

namespace jaybridge {

/// Checks that versions rise without gaps and passes messages on.
struct SpreadWatch {
  std::map<MemberId, ConfigurationVersion> InForce_;
  std::size_t Faults_ = 0;
  std::size_t SnapshotsInstalled_ = 0;
  std::set<MemberId> Current_;

  void operator()(Fleet<ConfigurationDistributor> &Run, const MemberId &From,
                  const ConfigurationDistributor::Effect &Given) {
    auto Raise = [&](ConfigurationVersion Version, bool IsWhole) {
      bool IsNext = Version == InForce_[From].next();
      Faults_ += Version <= InForce_[From] || (!IsNext && !IsWhole) ? 1 : 0;
      InForce_[From] = Version;
    };
    std::visit(
        Overloaded{
            [&](const SendToMember<DistributionMessage> &Each) {
              Run.send(From, Each.To_,
                       FromMember<DistributionMessage>{From, Each.Message_});
            },
            [&](const EntryApplied &Each) { Raise(Each.Version_, false); },
            [&](const SnapshotApplied &Each) {
              ++SnapshotsInstalled_;
              Raise(Each.Version_, true);
            },
            [&](const SnapshotNeeded &) {
              Run.give(From, SnapshotProvided{InForce_[From],
                                              snapshotAt(InForce_[From])});
            },
            [&](const ConfigurationUpToDate &) { Current_.insert(From); }},
        Given);
  }
  static ConfigurationBytes snapshotAt(ConfigurationVersion Version) {
    return ConfigurationBytes(std::string(100'000, 's') +
                              std::to_string(Version.value()));
  }
};

/// A fleet of spreads whose members know each other; member 0 commits.
struct SpreadFleet {
  std::size_t Count_;
  SpreadWatch Watch_;
  Fleet<ConfigurationDistributor> Run_;

  SpreadFleet(std::size_t Count, LinkFaults Faults, RandomSeed Seed)
      : Count_(Count),
        Run_([this](auto &Run, const auto &From,
                    const auto &Given) { Watch_(Run, From, Given); },
             Faults, Seed) {
    for (std::size_t I = 0; I < Count; ++I)
      start(I, 1);
  }
  SpreadFleet(const SpreadFleet &) = delete;
  SpreadFleet &operator=(const SpreadFleet &) = delete;

  void start(std::size_t Number, std::uint64_t Run) {
    MemberId Id = memberNumber(Number);
    Watch_.InForce_.erase(Id);
    Watch_.Current_.erase(Id);
    Run_.start(
        Id, ConfigurationDistributor::create(
                {Id, recordOf(Number).Domain_, RandomSeed(1000 * Run + Number)})
                .takeValue());
    for (std::size_t Other = 0; Other < Count_; ++Other)
      Run_.give(Id, MemberChanged{recordOf(Other)});
  }
  void commit(std::uint64_t Version) {
    Run_.give(memberNumber(0),
              EntryCommitted{ConfigurationVersion(Version),
                             ConfigurationBytes(std::string(200, 'e'))});
  }
  std::size_t countAt(std::uint64_t Version) {
    std::size_t Count = 0;
    for (const MemberId &Id : Run_.members())
      Count += Run_.role(Id).currentVersion().value() == Version ? 1 : 0;
    return Count;
  }
};

} // namespace jaybridge
