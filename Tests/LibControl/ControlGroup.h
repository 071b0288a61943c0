#pragma once

#include <LibControl/ConfigurationService.h>
#include <LibWire/ConfigurationCodec.h>
#include <LibWire/ControlCodec.h>

#include <map>
#include <set>

namespace jaybridge {

struct TestEncoding {
  static std::string encode(const ConfigurationChange &Change) {
    return encodeConfigurationChange(Change);
  }
  static std::string encode(const ConfigurationSnapshot &Snapshot) {
    return encodeConfigurationSnapshot(Snapshot);
  }
  static Result<ConfigurationChange> decodeChange(const std::string &Text) {
    return decodeConfigurationChange(Text);
  }
  static Result<ConfigurationSnapshot> decodeSnapshot(const std::string &Text) {
    return decodeConfigurationSnapshot(Text);
  }
};

/// Three control members and one daemon without a log, in logical time.
/// Messages pass through their codec and arrive at once, in order.
class ControlGroup {
public:
  using Service = ConfigurationService<TestEncoding>;

  ControlGroup() {
    const std::vector<MemberId> Control = {MemberId("c0"), MemberId("c1"),
                                           MemberId("c2")};
    std::uint64_t Seed = 1;
    for (const MemberId &Id : Control) {
      ReplicationSettings Settings;
      Settings.Self_ = Id;
      Settings.Members_ = Control;
      RecoveredLog Empty;
      Empty.Generation_ = FolderGeneration(++Seed);
      auto Log = ReplicatedLog::create(Settings, Empty, RandomSeed(Seed), Now_);
      JAYBRIDGE_VERIFY(Log.hasValue());
      Services_.emplace(Id, Service(Id, Control, Log.takeValue()));
    }
    Services_.emplace(MemberId("g0"),
                      Service(MemberId("g0"), Control, std::nullopt));
  }

  void give(const std::string &Member, const ConfigurationEvent &Event) {
    std::vector<ConfigurationEffect> Out;
    Services_.at(MemberId(Member)).handle(Event, Now_, Out);
    deliver(MemberId(Member), Out);
  }
  void run(Duration Length) {
    for (TimePoint End = Now_ + Length; Now_ < End; Now_ += 10ms)
      for (auto &[Id, Each] : Services_) {
        std::vector<ConfigurationEffect> Out;
        Each.advance(Now_, Out);
        deliver(Id, Out);
      }
  }
  void cut(const std::string &Member) { Cut_.insert(MemberId(Member)); }

  std::map<QueryId, Result<ConfigurationVersion>> Changes_;
  std::map<QueryId, Result<ConfigurationSnapshot>> Catalogs_;

private:
  void deliver(const MemberId &From, std::vector<ConfigurationEffect> &Out) {
    for (ConfigurationEffect &Each : Out)
      std::visit(
          Overloaded{
              [&](SendToMember<ConfigurationMessage> &Sent) {
                auto Copy = decodeConfigurationMessage(
                    encodeConfigurationMessage(Sent.Message_));
                JAYBRIDGE_VERIFY(Copy.hasValue());
                pass(From, Sent.To_,
                     FromMember<ConfigurationMessage>{From, Copy.takeValue()});
              },
              [&](SendReplication &Sent) {
                pass(From, Sent.To_, std::move(Sent.Message_));
              },
              [&](PersistLog &Write) {
                give(From.text(), Persisted{Write.Sequence_});
              },
              [&](OperatorChangeResponse &Answered) {
                Changes_.emplace(Answered.Query_, Answered.Answer_);
              },
              [&](OperatorCatalogResponse &Answered) {
                Catalogs_.emplace(Answered.Query_, Answered.Answer_);
              },
              [](auto &) {},
          },
          Each);
  }
  void pass(const MemberId &From, const MemberId &To,
            const ConfigurationEvent &Event) {
    if (From == To || (!Cut_.contains(From) && !Cut_.contains(To)))
      give(To.text(), Event);
  }

  TimePoint Now_{1s};
  std::map<MemberId, Service> Services_;
  std::set<MemberId> Cut_;
};

} // namespace jaybridge
