#pragma once

#include <LibRegistry/ControlService.h>
#include <LibRegistry/RegistrySubscription.h>
#include <LibReplication/LogRecovery.h>
#include <LibWire/RegistryCodec.h>

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace jaybridge {

/// Reads "HOST SERVICE" lines into routes of one prefix.
struct LineDocument {
  static Result<RoutingTable> read(const std::string &Text);
};

/// Control members and gateways joined by queues in logical time. Messages take
/// a constant time, writes are synced at once; members can be stopped, started
/// with or without their folder, and cut off from each other.
class RegistryFleet {
public:
  using Control = ControlService<RegistryWireCodec>;
  using Gateway = RegistrySubscription<LineDocument>;

  static constexpr Duration Delay = 1ms;
  static constexpr Duration Step = 10ms;

  /// The first three members are the seeds.
  RegistryFleet(std::size_t Members, std::size_t Gateways);

  static MemberId member(std::size_t Index);
  static MemberId gateway(std::size_t Index);
  /// Members and gateways are spread over the domains by their index.
  static constexpr std::size_t Domains = 3;
  static FailureDomain domain(std::size_t Index);

  void run(Duration Span);
  /// Runs until a member leads, and announces the instance to it.
  void formWith(const InstanceRecord &Instance);
  void stopMember(std::size_t Index);
  void startMember(std::size_t Index, bool IsFirstStart = false);
  void loseFolder(std::size_t Index);
  /// Adds a member with an empty folder and a new address.
  std::size_t addMember();
  void setCut(const MemberId &Left, const MemberId &Right, bool IsCut);

  ControlRequestId announce(std::size_t Member, const InstanceRecord &Record);
  ControlRequestId offer(std::size_t Member, std::uint64_t Version,
                         const std::string &Text);
  ControlRequestId ask(std::size_t Member);
  /// Null when the query was not answered yet.
  const ControlReplyBody *answerOf(ControlRequestId Query) const;
  template <typename Body> bool isAnswered(ControlRequestId Query) const {
    const ControlReplyBody *Found = answerOf(Query);
    return Found && std::holds_alternative<Body>(*Found);
  }

  /// The end of an attempt at a gateway.
  void observe(std::size_t Gateway, const ObserveAttempt &Seen);
  void spendRetry(std::size_t Gateway, const ServiceName &Service);

  /// The member that leads; the number of members when there is none.
  std::size_t leader() const;
  const Control *control(std::size_t Index) const {
    return Members_[Index].Running_.get();
  }
  std::size_t voterCount() const;

  struct View {
    ConfigurationVersion Version_;
    std::map<InstanceId, InstanceState> Instances_;
    std::optional<MemberId> Contact_;
    EventCount RetriesGranted_;
  };
  const View &view(std::size_t Index) const { return Views_[Index]; }

private:
  struct Member {
    std::unique_ptr<Control> Running_;
    std::unique_ptr<LogRecovery> Folder_;
    FolderGeneration Generation_;
  };
  struct Message {
    TimePoint At_;
    MemberId From_;
    MemberId To_;
    std::variant<ReplicationMessage, SubscriptionMessage> Body_;
  };

  void handle(std::size_t Index, const ControlEvent &Event);
  void handle(std::size_t Index, const RegistrySubscriptionEvent &Event);
  void deliver(std::size_t Index, std::vector<ControlEffect> Effects);
  void deliver(std::size_t Index,
               std::vector<RegistrySubscriptionEffect> Effects);
  void receive(const Message &Arrived);
  bool isCut(const MemberId &From, const MemberId &To) const;
  RecoveredLog recover(Member &Given);

  TimePoint Now_{1h};
  std::vector<Member> Members_;
  std::vector<std::vector<PersistLog>> Writes_;
  std::vector<std::unique_ptr<Gateway>> Gateways_;
  std::vector<View> Views_;
  std::deque<Message> Messages_;
  std::set<std::pair<MemberId, MemberId>> Cuts_;
  std::map<ControlRequestId, ControlReplyBody> Answers_;
  ControlRequestId LastQuery_;
  std::uint64_t Generations_ = 0;
};

} // namespace jaybridge
