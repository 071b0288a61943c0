#include "LedgerSupport.h"

#include <LibCore/Random.h>

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace jaybridge {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t GatewayCount = 4;
constexpr std::size_t ReplicaCount = 3;
constexpr std::size_t KeyCount = 40;
constexpr Duration Tick = std::chrono::milliseconds(1);
constexpr int TickCount = 30'000;

/// Simulates several gateways and replicas. Messages are lost, duplicated and
/// delayed, links fail in one direction, gateways are paused, and gateways
/// and replicas restart with empty memory.
class SimulatedLedger {
public:
  explicit SimulatedLedger(std::uint64_t Seed) : Random_(RandomSeed(Seed)) {
    for (std::size_t I = 0; I < ReplicaCount; ++I) {
      ClockSkews_.push_back(milliseconds(Random_.below(400)));
      Replicas_.push_back(makeReplica(I));
    }
    for (std::size_t I = 0; I < GatewayCount; ++I)
      Gateways_.push_back(
          SimulatedGateway{makeCoordinator(I, 1), TimePoint{}, 1, {}, {}});
  }

  void run() {
    for (int I = 0; I < TickCount; ++I) {
      Now_ += Tick;
      injectFault();
      if (Random_.below(8) == 0)
        sendRandomKey();
      deliverDue();
      for (std::size_t Index = 0; Index < GatewayCount; ++Index)
        step(Index);
    }
  }

  std::size_t dispatchedKeys() const { return DispatchedKeys_.size(); }
  std::size_t storedAnswers() const { return StoredAnswerCount_; }

private:
  struct RunningRequest {
    RequestId Request_;
    std::size_t Key_;
    TimePoint EndsAt_;
  };
  struct SimulatedGateway {
    ClaimCoordinator Coordinator_;
    TimePoint PausedUntil_;
    std::uint64_t Incarnation_;
    std::vector<RunningRequest> Running_;
    std::vector<ClaimCoordinator::Event> Inbox_;
  };
  struct Message {
    std::size_t From_;
    std::size_t To_;
    std::variant<LedgerRequest, LedgerReply> Content_;
  };

  LedgerLimits limits() const {
    LedgerLimits Limits;
    Limits.Retention_ = std::chrono::seconds(12);
    Limits.ExpiryMargin_ = std::chrono::seconds(1);
    Limits.FutureTolerance_ = std::chrono::seconds(1);
    return Limits;
  }
  WallTime replicaClock(std::size_t Index) const {
    return wallTimeAfter(Now_.time_since_epoch()) + ClockSkews_[Index];
  }
  LedgerReplica makeReplica(std::size_t Index) const {
    return LedgerReplica::create(limits(), replicaClock(Index)).takeValue();
  }
  static std::string replicaName(std::size_t Index) {
    return "r" + std::to_string(Index);
  }
  static ClaimCoordinator makeCoordinator(std::size_t Index,
                                          std::uint64_t IncarnationNumber) {
    ClaimCoordinatorSettings Settings;
    Settings.Self_ = MemberId("g" + std::to_string(Index));
    Settings.Incarnation_ = Incarnation(IncarnationNumber);
    for (std::size_t I = 0; I < ReplicaCount; ++I)
      Settings.Replicas_.push_back(MemberId(replicaName(I)));
    Settings.ClaimTimeout_ = milliseconds(200);
    return ClaimCoordinator::create(Settings).takeValue();
  }

  void injectFault() {
    std::uint64_t Choice = Random_.below(4000);
    std::size_t Index = Random_.below(GatewayCount);
    if (Choice < 8)
      Gateways_[Index].PausedUntil_ = Now_ + milliseconds(Random_.below(2000));
    if (Choice == 8) {
      // Requests that were dispatched before the restart remain dispatched.
      std::uint64_t IncarnationNumber = Gateways_[Index].Incarnation_ + 1;
      Gateways_[Index] =
          SimulatedGateway{makeCoordinator(Index, IncarnationNumber),
                           Now_,
                           IncarnationNumber,
                           {},
                           {}};
    }
    if (Choice == 9 || Choice == 10) {
      std::size_t Replica = Random_.below(ReplicaCount);
      Replicas_[Replica] = makeReplica(Replica);
    }
    if (Choice >= 20 && Choice < 30)
      BlockedRequests_.insert(
          {Random_.below(GatewayCount), Random_.below(ReplicaCount)});
    if (Choice >= 30 && Choice < 40)
      BlockedReplies_.insert(
          {Random_.below(GatewayCount), Random_.below(ReplicaCount)});
    if (Choice >= 40 && Choice < 48) {
      BlockedRequests_.clear();
      BlockedReplies_.clear();
    }
  }

  void sendRandomKey() {
    // Keys are created throughout the run, and requests with a key arrive at
    // any gateway any number of times.
    std::size_t Key = Random_.below(KeyCount);
    TimePoint CreatedAt =
        TimePoint{} + milliseconds(1500) + Key * milliseconds(500);
    if (Now_ < CreatedAt)
      return;
    std::size_t Index = Random_.below(GatewayCount);
    RequestId Id(std::to_string(++LastRequestNumber_));
    KeyOfRequest_[Id] = Key;
    auto Text = keyCreatedAt(wallTimeAfter(CreatedAt.time_since_epoch()),
                             static_cast<std::uint8_t>(Key))
                    .text();
    Gateways_[Index].Inbox_.push_back(
        ClaimRequested{Id, IdempotencyKeyText(Text), Fingerprint(Key),
                       Now_ + milliseconds(100 + Random_.below(900))});
  }

  void send(Message Sent) {
    constexpr std::uint64_t LossPercent = 10;
    constexpr std::uint64_t DuplicatePercent = 10;
    std::uint64_t Copies = Random_.below(100) < DuplicatePercent ? 2 : 1;
    for (std::uint64_t I = 0; I < Copies; ++I)
      if (Random_.below(100) >= LossPercent)
        InFlight_.emplace(Now_ + milliseconds(Random_.below(
                                     Random_.below(20) == 0 ? 3000 : 5)),
                          Sent);
  }

  void deliverDue() {
    while (!InFlight_.empty() && InFlight_.begin()->first <= Now_) {
      Message Arrived = InFlight_.begin()->second;
      InFlight_.erase(InFlight_.begin());
      if (auto *Request = std::get_if<LedgerRequest>(&Arrived.Content_)) {
        if (BlockedRequests_.contains({Arrived.From_, Arrived.To_}))
          continue;
        auto Reply =
            Replicas_[Arrived.To_].handle(*Request, replicaClock(Arrived.To_));
        if (Reply)
          send(Message{Arrived.To_, Arrived.From_, *Reply});
      } else if (!BlockedReplies_.contains({Arrived.To_, Arrived.From_})) {
        Gateways_[Arrived.To_].Inbox_.push_back(
            LedgerReplyReceived{MemberId(replicaName(Arrived.From_)),
                                std::get<LedgerReply>(Arrived.Content_)});
      }
    }
  }

  void step(std::size_t Index) {
    SimulatedGateway &Gateway = Gateways_[Index];
    if (Now_ < Gateway.PausedUntil_)
      return;
    std::vector<ClaimCoordinator::Effect> Effects;
    Gateway.Coordinator_.advance(Now_, Effects);
    for (const auto &Received : Gateway.Inbox_)
      Gateway.Coordinator_.handle(Received, Now_, Effects);
    Gateway.Inbox_.clear();
    std::erase_if(Gateway.Running_, [&](const RunningRequest &Request) {
      if (Request.EndsAt_ > Now_)
        return false;
      Gateway.Coordinator_.handle(
          FinishRequested{Request.Request_, answerWith("ran")}, Now_, Effects);
      return true;
    });
    // Settling a granted claim may add a release to Effects.
    for (std::size_t I = 0; I < Effects.size(); ++I) {
      auto Effect = Effects[I];
      if (auto *Sent = std::get_if<SendToReplica>(&Effect))
        send(Message{Index, Sent->Replica_.text()[1] - std::size_t('0'),
                     Sent->Message_});
      else
        settle(Gateway, std::get<ClaimSettled>(Effect), Effects);
    }
  }

  void settle(SimulatedGateway &Gateway, const ClaimSettled &Settled,
              std::vector<ClaimCoordinator::Effect> &Effects) {
    std::size_t Key = KeyOfRequest_.at(Settled.Request_);
    if (!Settled.Answer_ && Random_.below(4) == 0) {
      // The request is not dispatched, and its caller is told `not-run`.
      EXPECT_FALSE(DispatchedKeys_.contains(Key)) << "false not-run";
      Gateway.Coordinator_.handle(ReleaseRequested{Settled.Request_}, Now_,
                                  Effects);
    } else if (!Settled.Answer_) {
      EXPECT_TRUE(DispatchedKeys_.insert(Key).second) << "second dispatch";
      Gateway.Running_.push_back(RunningRequest{
          Settled.Request_, Key, Now_ + milliseconds(Random_.below(600))});
    } else if (auto *Refused = std::get_if<Refusal>(&*Settled.Answer_)) {
      EXPECT_NE(Refused->Outcome_, Outcome::NotRun);
    } else {
      EXPECT_TRUE(DispatchedKeys_.contains(Key))
          << "stored answer without a dispatch";
      ++StoredAnswerCount_;
    }
  }

  Random Random_;
  TimePoint Now_;
  std::vector<milliseconds> ClockSkews_;
  std::vector<LedgerReplica> Replicas_;
  std::vector<SimulatedGateway> Gateways_;
  std::multimap<TimePoint, Message> InFlight_;
  std::set<std::pair<std::size_t, std::size_t>> BlockedRequests_;
  std::set<std::pair<std::size_t, std::size_t>> BlockedReplies_;
  std::map<RequestId, std::size_t> KeyOfRequest_;
  std::set<std::size_t> DispatchedKeys_;
  std::uint64_t LastRequestNumber_ = 0;
  std::size_t StoredAnswerCount_ = 0;
};

class LedgerRandomizedTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against dispatching a key twice and against a false `not-run` while
// messages are lost, duplicated and delayed, links fail in one direction,
// gateways are paused, and members restart with empty memory.
TEST_P(LedgerRandomizedTest, NeverDispatchesTwice) {
  std::size_t Dispatched = 0;
  std::size_t Stored = 0;
  constexpr std::uint64_t SimulationsPerSeed = 4;
  for (std::uint64_t I = 0; I < SimulationsPerSeed; ++I) {
    SimulatedLedger Simulation(GetParam() * SimulationsPerSeed + I);
    Simulation.run();
    Dispatched += Simulation.dispatchedKeys();
    Stored += Simulation.storedAnswers();
  }
  // Enough keys must be dispatched in spite of the faults, or nothing is
  // tested.
  EXPECT_GT(Dispatched, SimulationsPerSeed * KeyCount / 4);
  EXPECT_GT(Stored, 0U);
  RecordProperty("dispatched", static_cast<int>(Dispatched));
}

INSTANTIATE_TEST_SUITE_P(Seeds, LedgerRandomizedTest,
                         testing::Range<std::uint64_t>(1, 9));

} // namespace
} // namespace jaybridge
