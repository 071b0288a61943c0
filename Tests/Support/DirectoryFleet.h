#pragma once

#include <LibDirectory/InstanceDirectory.h>
#include <Support/MembershipFleet.h>

namespace jaybridge {

inline InstanceRecord instanceNumber(std::size_t Number,
                                     std::uint64_t Version = 1) {
  return InstanceRecord{
      InstanceId("pengeluar-tiket-" + std::to_string(Number)),
      ServiceName("pengeluar-tiket-" + std::to_string(Number / 50)),
      addressOf(Number),
      recordOf(Number).Domain_,
      SlotCount(4),
      InstanceState::Serving,
      Incarnation(Version)};
}

/// Counts what directories tell their daemons and passes their messages on.
struct DirectoryWatch {
  std::map<MemberId, std::size_t> LoadsLearned_;
  std::map<MemberId, std::vector<bool>> Confirmations_;
  std::vector<AnnouncementAnswered> Answers_;
  std::size_t Lapses_ = 0;
  std::size_t RenewalMessages_ = 0;

  void operator()(Fleet<InstanceDirectory> &Run, const MemberId &From,
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
            [&](const LoadReportReceived &) { ++LoadsLearned_[From]; }},
        Given);
  }
};

/// A fleet of directories whose members know each other.
struct DirectoryFleet {
  std::size_t Count_;
  DirectoryWatch Watch_;
  Fleet<InstanceDirectory> Run_;

  DirectoryFleet(std::size_t Count, LinkFaults Faults, RandomSeed Seed)
      : Count_(Count),
        Run_([this](auto &Run, const auto &From,
                    const auto &Given) { Watch_(Run, From, Given); },
             Faults, Seed) {
    for (std::size_t I = 0; I < Count; ++I)
      start(I, 1);
  }
  DirectoryFleet(const DirectoryFleet &) = delete;
  DirectoryFleet &operator=(const DirectoryFleet &) = delete;

  void start(std::size_t Number, std::uint64_t Run) {
    InstanceDirectorySettings Draft{memberNumber(Number),
                                    recordOf(Number).Domain_, HomeCount(1),
                                    RandomSeed(1000 * Run + Number)};
    Run_.start(memberNumber(Number),
               InstanceDirectory::create(std::move(Draft)).takeValue());
    for (std::size_t Other = 0; Other < Count_; ++Other)
      Run_.give(memberNumber(Number), MemberChanged{recordOf(Other)});
  }
  void announce(std::size_t Member, const InstanceRecord &Record) {
    Run_.give(memberNumber(Member), InstanceAnnounced{Record});
  }
  void isolate(std::size_t Member) {
    for (std::size_t Other = 0; Other < Count_; ++Other)
      Run_.cutBothWays(memberNumber(Member), memberNumber(Other));
  }
  /// Daemons that know this instance in this state.
  std::size_t countKnowing(const InstanceId &Id, InstanceState State) {
    std::size_t Knowing = 0;
    for (const MemberId &Member : Run_.members()) {
      const InstanceRecord *Known = Run_.role(Member).records().find(keyOf(Id));
      Knowing += Known && Known->State_ == State ? 1 : 0;
    }
    return Knowing;
  }
};

} // namespace jaybridge
