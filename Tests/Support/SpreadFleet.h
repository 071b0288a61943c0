#pragma once

#include <LibDirectory/ConfigurationSpread.h>
#include <Support/MembershipFleet.h>

namespace jaybridge {

/// Checks that versions rise without gaps and passes messages on.
struct SpreadRecorder {
  std::map<MemberId, ConfigurationVersion> InForce_;
  std::size_t Faults_ = 0;
  std::size_t SnapshotsInstalled_ = 0;
  std::set<MemberId> CurrentMembers_;

  void operator()(Simulation<ConfigurationSpread> &Run, const MemberId &From,
                  const ConfigurationSpread::Effect &Given) {
    auto Raise = [&](ConfigurationVersion Version, bool IsWhole) {
      bool IsNext = Version == InForce_[From].next();
      Faults_ += Version <= InForce_[From] || (!IsNext && !IsWhole) ? 1 : 0;
      InForce_[From] = Version;
    };
    std::visit(
        Overloaded{
            [&](const SendToMember<SpreadMessage> &Each) {
              Run.send(From, Each.To_,
                       FromMember<SpreadMessage>{From, Each.Message_});
            },
            [&](const EntryInForce &Each) { Raise(Each.Version_, false); },
            [&](const SnapshotInForce &Each) {
              ++SnapshotsInstalled_;
              Raise(Each.Version_, true);
            },
            [&](const SnapshotNeeded &) {
              Run.inject(From, SnapshotProvided{InForce_[From],
                                                snapshotAt(InForce_[From])});
            },
            [&](const ConfigurationIsCurrent &) {
              CurrentMembers_.insert(From);
            }},
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
  SpreadRecorder Recorder_;
  Simulation<ConfigurationSpread> Simulation_;

  SpreadFleet(std::size_t Count, LinkFaults Faults, RandomSeed Seed)
      : Count_(Count),
        Simulation_([this](auto &Run, const auto &From,
                           const auto &Given) { Recorder_(Run, From, Given); },
                    Faults, Seed) {
    for (std::size_t I = 0; I < Count; ++I)
      start(I, 1);
  }
  SpreadFleet(const SpreadFleet &) = delete;
  SpreadFleet &operator=(const SpreadFleet &) = delete;

  void start(std::size_t Number, std::uint64_t Run) {
    MemberId Id = memberIdFor(Number);
    Recorder_.InForce_.erase(Id);
    Recorder_.CurrentMembers_.erase(Id);
    Simulation_.start(
        Id, ConfigurationSpread::create({Id, memberRecordFor(Number).Domain_,
                                         RandomSeed(1000 * Run + Number)})
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
  std::size_t countMembersAt(std::uint64_t Version) {
    std::size_t Count = 0;
    for (const MemberId &Id : Simulation_.members())
      Count += Simulation_.role(Id).inForce().value() == Version ? 1 : 0;
    return Count;
  }
};

} // namespace jaybridge
