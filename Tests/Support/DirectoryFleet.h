#pragma once

#include <LibDirectory/InstanceDirectory.h>
#include <Support/MembershipFleet.h>

namespace jaybridge {

inline InstanceRecord instanceRecordFor(std::size_t Number,
                                        std::uint64_t Version = 1) {
  return InstanceRecord{
      InstanceId("pengeluar-tiket-" + std::to_string(Number)),
      ServiceName("pengeluar-tiket-" + std::to_string(Number / 50)),
      memberAddressFor(Number),
      memberRecordFor(Number).Domain_,
      SlotCount(4),
      InstanceState::Serving,
      Incarnation(Version)};
}

/// Counts what directories tell their daemons and passes their messages on.
struct DirectoryRecorder {
  std::map<MemberId, std::size_t> LoadsLearned_;
  std::map<MemberId, std::vector<bool>> Confirmations_;
  std::vector<AnnouncementAnswered> Answers_;
  std::size_t Lapses_ = 0;
  std::size_t RenewalMessages_ = 0;

  void operator()(Simulation<InstanceDirectory> &Run, const MemberId &From,
                  const InstanceDirectory::Effect &Given) {
    std::visit(
        Overloaded{
            [&](const SendToMember<DirectoryMessage> &Each) {
              RenewalMessages_ +=
                  std::holds_alternative<LeaseRenewals>(Each.Message_) ? 1 : 0;
              Run.send(From, Each.To_,
                       FromMember<DirectoryMessage>{From, Each.Message_});
            },
            [&](const InstanceUpdated &Each) {
              Lapses_ += Each.Record_.State_ == InstanceState::Lapsed ? 1 : 0;
            },
            [&](const AnnouncementAnswered &Each) { Answers_.push_back(Each); },
            [&](const ConfirmationChanged &Each) {
              Confirmations_[From].push_back(Each.IsConfirmed_);
            },
            [&](const LoadLearned &) { ++LoadsLearned_[From]; }},
        Given);
  }
};

/// A fleet of directories whose members know each other.
struct DirectoryFleet {
  std::size_t Count_;
  DirectoryRecorder Recorder_;
  Simulation<InstanceDirectory> Simulation_;

  DirectoryFleet(std::size_t Count, LinkFaults Faults, RandomSeed Seed)
      : Count_(Count),
        Simulation_([this](auto &Run, const auto &From,
                           const auto &Given) { Recorder_(Run, From, Given); },
                    Faults, Seed) {
    for (std::size_t I = 0; I < Count; ++I)
      start(I, 1);
  }
  DirectoryFleet(const DirectoryFleet &) = delete;
  DirectoryFleet &operator=(const DirectoryFleet &) = delete;

  void start(std::size_t Number, std::uint64_t Run) {
    DirectoryDraft Draft{memberIdFor(Number), memberRecordFor(Number).Domain_,
                         HomeCount(1), RandomSeed(1000 * Run + Number)};
    Simulation_.start(memberIdFor(Number),
                      InstanceDirectory::create(std::move(Draft)).takeValue());
    for (std::size_t Other = 0; Other < Count_; ++Other)
      Simulation_.inject(memberIdFor(Number),
                         MemberChanged{memberRecordFor(Other)});
  }
  void announce(std::size_t Member, const InstanceRecord &Record) {
    Simulation_.inject(memberIdFor(Member), InstanceAnnounced{Record});
  }
  void isolate(std::size_t Member) {
    for (std::size_t Other = 0; Other < Count_; ++Other)
      Simulation_.cutBothWays(memberIdFor(Member), memberIdFor(Other));
  }
  /// Daemons that know this instance in this state.
  std::size_t countDaemonsKnowing(const InstanceId &Id, InstanceState State) {
    std::size_t Knowing = 0;
    for (const MemberId &Member : Simulation_.members()) {
      const InstanceRecord *Known =
          Simulation_.role(Member).records().find(keyOf(Id));
      Knowing += Known && Known->State_ == State ? 1 : 0;
    }
    return Knowing;
  }
};

} // namespace jaybridge
