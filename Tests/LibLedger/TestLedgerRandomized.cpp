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

/// Several gateways and replicas in one process. Messages are lost, copied and
/// delayed; VMs freeze, restart with lost memory and are cut one-way.
class LedgerFleet {
public:
  explicit LedgerFleet(std::uint64_t Seed) : Random_(RandomSeed(Seed)) {
    for (std::size_t I = 0; I < ReplicaCount; ++I) {
      Skew_.push_back(milliseconds(Random_.below(400)));
      Replicas_.push_back(makeReplica(I));
    }
    for (std::size_t I = 0; I < GatewayCount; ++I)
      Gateways_.push_back(Gateway{makeClaims(I, 1), TimePoint{}, 1, {}, {}});
  }

  void run() {
    for (int I = 0; I < TickCount; ++I) {
      Now_ += Tick;
      disturb();
      if (Random_.below(8) == 0)
        resendRandomKey();
      deliverDue();
      for (std::size_t G = 0; G < GatewayCount; ++G)
        step(G);
    }
  }

  std::size_t dispatchedKeys() const { return Dispatched_.size(); }
  std::size_t storedAnswers() const { return Stored_; }

private:
  struct Work {
    RequestId Request_;
    std::size_t Key_;
    TimePoint EndsAt_;
  };
  struct Gateway {
    ClaimCoordinator Claims_;
    TimePoint FrozenUntil_;
    std::uint64_t Incarnation_;
    std::vector<Work> Running_;
    std::vector<ClaimCoordinator::Event> Inbox_;
  };
  struct Packet {
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
    return wallAt(Now_.time_since_epoch()) + Skew_[Index];
  }
  LedgerReplica makeReplica(std::size_t Index) const {
    return LedgerReplica::create(limits(), replicaClock(Index)).takeValue();
  }
  static std::string replicaName(std::size_t Index) {
    return "r" + std::to_string(Index);
  }
  static ClaimCoordinator makeClaims(std::size_t Index, std::uint64_t Run) {
    ClaimCoordinatorSettings Settings;
    Settings.Self_ = MemberId("g" + std::to_string(Index));
    Settings.Incarnation_ = Incarnation(Run);
    for (std::size_t I = 0; I < ReplicaCount; ++I)
      Settings.Replicas_.push_back(MemberId(replicaName(I)));
    Settings.ClaimTimeout_ = milliseconds(200);
    return ClaimCoordinator::create(Settings).takeValue();
  }

  void disturb() {
    std::uint64_t Choice = Random_.below(4000);
    std::size_t G = Random_.below(GatewayCount);
    if (Choice < 8)
      Gateways_[G].FrozenUntil_ = Now_ + milliseconds(Random_.below(2000));
    if (Choice == 8) {
      // What the lost run dispatched stays dispatched.
      std::uint64_t Run = Gateways_[G].Incarnation_ + 1;
      Gateways_[G] = Gateway{makeClaims(G, Run), Now_, Run, {}, {}};
    }
    if (Choice == 9 || Choice == 10) {
      std::size_t R = Random_.below(ReplicaCount);
      Replicas_[R] = makeReplica(R);
    }
    if (Choice >= 20 && Choice < 30)
      Cut_.insert({Random_.below(GatewayCount), Random_.below(ReplicaCount)});
    if (Choice >= 30 && Choice < 40)
      CutBack_.insert(
          {Random_.below(GatewayCount), Random_.below(ReplicaCount)});
    if (Choice >= 40 && Choice < 48) {
      Cut_.clear();
      CutBack_.clear();
    }
  }

  void resendRandomKey() {
    // Keys are created throughout the run and resent through any gateway.
    std::size_t Key = Random_.below(KeyCount);
    TimePoint Created =
        TimePoint{} + milliseconds(1500) + Key * milliseconds(500);
    if (Now_ < Created)
      return;
    std::size_t G = Random_.below(GatewayCount);
    RequestId Id(std::to_string(++LastRequest_));
    KeyOf_[Id] = Key;
    auto Text = keyCreatedAt(wallAt(Created.time_since_epoch()),
                             static_cast<std::uint8_t>(Key))
                    .text();
    Gateways_[G].Inbox_.push_back(
        ClaimRequested{Id, IdempotencyKeyText(Text), Fingerprint(Key),
                       Now_ + milliseconds(100 + Random_.below(900))});
  }

  void send(Packet Sent) {
    constexpr std::uint64_t LossPercent = 10;
    constexpr std::uint64_t CopyPercent = 10;
    std::uint64_t Copies = Random_.below(100) < CopyPercent ? 2 : 1;
    for (std::uint64_t I = 0; I < Copies; ++I)
      if (Random_.below(100) >= LossPercent)
        Air_.emplace(Now_ + milliseconds(Random_.below(
                                Random_.below(20) == 0 ? 3000 : 5)),
                     Sent);
  }

  void deliverDue() {
    while (!Air_.empty() && Air_.begin()->first <= Now_) {
      Packet Each = Air_.begin()->second;
      Air_.erase(Air_.begin());
      if (auto *Asked = std::get_if<LedgerRequest>(&Each.Content_)) {
        if (Cut_.contains({Each.From_, Each.To_}))
          continue;
        auto Reply = Replicas_[Each.To_].handle(*Asked, replicaClock(Each.To_));
        if (Reply)
          send(Packet{Each.To_, Each.From_, *Reply});
      } else if (!CutBack_.contains({Each.To_, Each.From_})) {
        Gateways_[Each.To_].Inbox_.push_back(
            LedgerReplyReceived{MemberId(replicaName(Each.From_)),
                                std::get<LedgerReply>(Each.Content_)});
      }
    }
  }

  void step(std::size_t G) {
    Gateway &Each = Gateways_[G];
    if (Now_ < Each.FrozenUntil_)
      return;
    std::vector<ClaimCoordinator::Effect> Effects;
    Each.Claims_.advance(Now_, Effects);
    for (const auto &Received : Each.Inbox_)
      Each.Claims_.handle(Received, Now_, Effects);
    Each.Inbox_.clear();
    std::erase_if(Each.Running_, [&](const Work &Ended) {
      if (Ended.EndsAt_ > Now_)
        return false;
      Each.Claims_.handle(FinishRequested{Ended.Request_, answerWith("ran")},
                          Now_, Effects);
      return true;
    });
    // Effects grow while a grant that is given up adds its release.
    for (std::size_t I = 0; I < Effects.size(); ++I) {
      auto Effect = Effects[I];
      if (auto *Sent = std::get_if<SendToReplica>(&Effect))
        send(Packet{G, Sent->Replica_.text()[1] - std::size_t('0'),
                    Sent->Message_});
      else
        settle(Each, std::get<ClaimSettled>(Effect), Effects);
    }
  }

  void settle(Gateway &Each, const ClaimSettled &Settled,
              std::vector<ClaimCoordinator::Effect> &Effects) {
    std::size_t Key = KeyOf_.at(Settled.Request_);
    if (!Settled.Answer_ && Random_.below(4) == 0) {
      // Never dispatched: this caller is told `not-run`.
      EXPECT_FALSE(Dispatched_.contains(Key)) << "false not-run";
      Each.Claims_.handle(ReleaseRequested{Settled.Request_}, Now_, Effects);
    } else if (!Settled.Answer_) {
      EXPECT_TRUE(Dispatched_.insert(Key).second) << "second dispatch";
      Each.Running_.push_back(
          Work{Settled.Request_, Key, Now_ + milliseconds(Random_.below(600))});
    } else if (auto *Refused = std::get_if<Refusal>(&*Settled.Answer_)) {
      EXPECT_NE(Refused->Outcome_, Outcome::NotRun);
    } else {
      EXPECT_TRUE(Dispatched_.contains(Key)) << "an answer without a run";
      ++Stored_;
    }
  }

  Random Random_;
  TimePoint Now_;
  std::vector<milliseconds> Skew_;
  std::vector<LedgerReplica> Replicas_;
  std::vector<Gateway> Gateways_;
  std::multimap<TimePoint, Packet> Air_;
  std::set<std::pair<std::size_t, std::size_t>> Cut_;
  std::set<std::pair<std::size_t, std::size_t>> CutBack_;
  std::map<RequestId, std::size_t> KeyOf_;
  std::set<std::size_t> Dispatched_;
  std::uint64_t LastRequest_ = 0;
  std::size_t Stored_ = 0;
};

class LedgerRandomizedTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against a second dispatch of a key and a false `not-run` under loss,
// copies, delays, freezes, restarts with lost memory and one-way cuts.
TEST_P(LedgerRandomizedTest, NeverDispatchesTwice) {
  std::size_t Dispatched = 0;
  std::size_t Stored = 0;
  constexpr std::uint64_t FleetsPerSeed = 4;
  for (std::uint64_t I = 0; I < FleetsPerSeed; ++I) {
    LedgerFleet Fleet(GetParam() * FleetsPerSeed + I);
    Fleet.run();
    Dispatched += Fleet.dispatchedKeys();
    Stored += Fleet.storedAnswers();
  }
  // The faults must not stop the ledger, or nothing would be tested.
  EXPECT_GT(Dispatched, FleetsPerSeed * KeyCount / 4);
  EXPECT_GT(Stored, 0U);
  RecordProperty("dispatched", static_cast<int>(Dispatched));
}

INSTANTIATE_TEST_SUITE_P(Seeds, LedgerRandomizedTest,
                         testing::Range<std::uint64_t>(1, 9));

} // namespace
} // namespace jaybridge
