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
  static Result<ConfigurationChange> decodeChange(const std::string &Encoded) {
    return decodeConfigurationChange(Encoded);
  }
  static Result<ConfigurationSnapshot>
  decodeSnapshot(const std::string &Encoded) {
    return decodeConfigurationSnapshot(Encoded);
  }
};

/// Runs three control members and a daemon without a log in simulated time.
/// Messages are encoded, decoded and delivered at once, in order.
class ControlGroup {
public:
  using Role = ConfigurationService<TestEncoding>;

  ControlGroup() {
    const std::vector<MemberId> ControlMembers = {
        MemberId("c0"), MemberId("c1"), MemberId("c2")};
    std::uint64_t Seed = 1;
    for (const MemberId &Id : ControlMembers) {
      ReplicationSettings Settings;
      Settings.Self_ = Id;
      Settings.Members_ = ControlMembers;
      RecoveredLog EmptyLog;
      EmptyLog.Generation_ = FolderGeneration(++Seed);
      auto Log =
          ReplicatedLog::create(Settings, EmptyLog, RandomSeed(Seed), Now_);
      JAYBRIDGE_VERIFY(Log.hasValue());
      Roles_.emplace(Id, Role(Id, ControlMembers, Log.takeValue()));
    }
    Roles_.emplace(MemberId("g0"),
                   Role(MemberId("g0"), ControlMembers, std::nullopt));
  }

  /// Passes the event to the member and carries out its effects.
  void sendEvent(const std::string &Member, const ConfigurationEvent &Event) {
    std::vector<ConfigurationEffect> Out;
    Roles_.at(MemberId(Member)).handle(Event, Now_, Out);
    deliver(MemberId(Member), Out);
  }
  /// Advances the time in steps of 10 ms.
  void run(Duration Length) {
    for (TimePoint End = Now_ + Length; Now_ < End; Now_ += 10ms)
      for (auto &[Id, MemberRole] : Roles_) {
        std::vector<ConfigurationEffect> Out;
        MemberRole.advance(Now_, Out);
        deliver(Id, Out);
      }
  }
  /// Discards all further messages to and from the member.
  void isolate(const std::string &Member) {
    IsolatedMembers_.insert(MemberId(Member));
  }

  std::map<QueryId, Result<ConfigurationVersion>> ChangeResults_;
  std::map<QueryId, Result<ConfigurationSnapshot>> CatalogResults_;

private:
  void deliver(const MemberId &From, std::vector<ConfigurationEffect> &Out) {
    for (ConfigurationEffect &Effect : Out)
      std::visit(
          Overloaded{
              [&](SendToMember<ConfigurationMessage> &Sent) {
                auto Copy = decodeConfigurationMessage(
                    encodeConfigurationMessage(Sent.Message_));
                JAYBRIDGE_VERIFY(Copy.hasValue());
                transmit(
                    From, Sent.To_,
                    FromMember<ConfigurationMessage>{From, Copy.takeValue()});
              },
              [&](SendReplication &Sent) {
                transmit(From, Sent.To_, std::move(Sent.Message_));
              },
              [&](PersistLog &Persist) {
                sendEvent(From.text(), Persisted{Persist.Sequence_});
              },
              [&](OperatorChangeResponse &Response) {
                ChangeResults_.emplace(Response.Query_, Response.Answer_);
              },
              [&](OperatorCatalogResponse &Response) {
                CatalogResults_.emplace(Response.Query_, Response.Answer_);
              },
              [](auto &) {},
          },
          Effect);
  }
  void transmit(const MemberId &From, const MemberId &To,
                const ConfigurationEvent &Event) {
    if (From == To ||
        (!IsolatedMembers_.contains(From) && !IsolatedMembers_.contains(To)))
      sendEvent(To.text(), Event);
  }

  TimePoint Now_{1s};
  std::map<MemberId, Role> Roles_;
  std::set<MemberId> IsolatedMembers_;
};

} // namespace jaybridge
