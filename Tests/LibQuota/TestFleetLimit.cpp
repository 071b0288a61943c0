#include <LibCore/Random.h>
#include <LibQuota/GatewayTokens.h>
#include <LibQuota/TokenIssuer.h>
#include <LibQuota/TokenRelay.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

#include <array>
#include <deque>
#include <memory>
#include <set>

namespace jaybridge {
namespace {

const TeamName Team("t");

/// Gateways, members and a leader in logical time. Any process can be frozen
/// or restarted, any connection cut; the leader can change. Messages to a
/// frozen process wait for it, those over a cut connection are lost.
class Fleet {
public:
  Fleet(TeamLimit Limit, std::size_t GatewayCount, std::uint64_t Seed)
      : Limit_(Limit), Random_(RandomSeed(Seed)) {
    for (std::size_t Index = 0; Index < MemberCount; ++Index)
      startMember(Index);
    for (std::size_t Index = 0; Index < GatewayCount; ++Index) {
      Gateways_.emplace_back();
      startGateway(Index);
    }
    lead(0);
    Now_ += 10s;
    Issuer_.setLimits({{Team, Limit_}}, Now_);
  }

  static constexpr std::size_t MemberCount = 3;
  static constexpr Duration Step = 4ms;

  void setLimit(TeamLimit Limit) {
    Limit_ = Limit;
    Issuer_.setLimits({{Team, Limit}}, Now_);
    for (Gateway &Each : Gateways_)
      Each.Tokens_->setLimits({{Team, Limit}});
  }
  void lead(std::size_t Member) {
    Leader_ = Member;
    Issuer_.start(Now_);
    for (auto &Relay : Relays_)
      Relay->changeLeader();
  }
  void startMember(std::size_t Index) {
    Relays_[Index] =
        std::make_unique<TokenRelay>(TokenRound(Random_.next() >> 16));
    if (Index == Leader_)
      Issuer_.start(Now_);
  }
  void startGateway(std::size_t Index) {
    Gateway &Started = Gateways_[Index];
    Started.Tokens_ =
        std::make_unique<GatewayTokens>(TokenRound(Random_.next() >> 16));
    Started.Tokens_->setLimits({{Team, Limit_}});
    Started.Waiting_.clear();
  }
  void follow(std::size_t Index, std::size_t Member) {
    Gateways_[Index].Member_ = Member;
  }

  /// Requests per second arrive at random gateways for a time.
  void run(Duration Time, double Rate) {
    const TimePoint End = Now_ + Time;
    for (; Now_ < End; Now_ += Step) {
      Arrivals_ += Rate * std::chrono::duration<double>(Step).count();
      for (; Arrivals_ >= 1; Arrivals_ -= 1)
        arrive(Random_.below(Gateways_.size()));
      deliver();
      for (std::size_t Index = 0; Index < Gateways_.size(); ++Index)
        if (!isFrozen(gateway(Index)))
          serve(Index);
      for (std::size_t Index = 0; Index < MemberCount; ++Index)
        if (!isFrozen(member(Index)))
          if (auto Request = Relays_[Index]->takeRequest(Now_))
            send(member(Index), member(Leader_), std::move(*Request));
    }
  }

  /// The most requests that ran in any window of 5 s.
  std::size_t mostInWindow() const {
    std::size_t Most = 0;
    for (std::size_t First = 0, Next = 0; First < RunAt_.size(); ++First) {
      while (Next < RunAt_.size() && RunAt_[Next] - RunAt_[First] < 5s)
        ++Next;
      Most = std::max(Most, Next - First);
    }
    return Most;
  }
  static double bound(TeamLimit Limit) {
    return (Limit.Rate_.value() * 5 + Limit.Burst_.value()) * 1.1 + 20;
  }

  std::size_t RefusedOverLimit_ = 0;
  std::size_t RefusedNotReady_ = 0;
  std::size_t ArrivedCount_ = 0;
  std::size_t MessageCount_ = 0;
  std::vector<TimePoint> RunAt_;
  std::set<MemberId> Frozen_;
  std::set<std::pair<MemberId, MemberId>> Cut_;
  Duration Latency_ = 4ms;
  TimePoint Now_{1h};

  static MemberId gateway(std::size_t Index) {
    return MemberId("g" + std::to_string(Index));
  }
  static MemberId member(std::size_t Index) {
    return MemberId("m" + std::to_string(Index));
  }

private:
  struct Gateway {
    std::unique_ptr<GatewayTokens> Tokens_;
    std::size_t Member_ = 0;
    std::deque<TimePoint> Waiting_;
  };
  struct Message {
    TimePoint DeliverAt_;
    MemberId From_;
    MemberId To_;
    std::variant<TokenRequest, TokenGrant> Body_;
  };

  static bool isMember(const MemberId &Process) {
    return Process.text().starts_with("m");
  }
  bool isFrozen(const MemberId &Process) const {
    return Frozen_.contains(Process);
  }
  void send(const MemberId &From, const MemberId &To,
            std::variant<TokenRequest, TokenGrant> Body) {
    ++MessageCount_;
    if (!Cut_.contains({From, To}))
      Messages_.push_back({Now_ + Latency_, From, To, std::move(Body)});
  }
  void arrive(std::size_t Index) {
    ++ArrivedCount_;
    Gateway &At = Gateways_[Index];
    At.Waiting_.push_back(Now_);
    if (isFrozen(gateway(Index)))
      return;
    if (At.Waiting_.size() == 1 && At.Tokens_->take(Team, Now_)) {
      At.Waiting_.pop_back();
      RunAt_.push_back(Now_);
    } else if (!At.Tokens_->request(Team, Now_)) {
      At.Waiting_.pop_back();
      ++RefusedOverLimit_;
    }
  }
  void serve(std::size_t Index) {
    Gateway &At = Gateways_[Index];
    while (!At.Waiting_.empty()) {
      if (At.Tokens_->take(Team, Now_)) {
        RunAt_.push_back(Now_);
        At.Waiting_.pop_front();
      } else if (At.Tokens_->refusalTime(Team, Now_)) {
        RefusedOverLimit_ += At.Waiting_.size();
        At.Waiting_.clear();
      } else if (Now_ - At.Waiting_.front() >= 150ms) {
        ++RefusedNotReady_;
        At.Waiting_.pop_front();
      } else {
        break;
      }
    }
    if (auto Request = At.Tokens_->takeRequest(Now_))
      send(gateway(Index), member(At.Member_), std::move(*Request));
  }
  void deliver() {
    std::deque<Message> Due;
    std::deque<Message> Later;
    for (Message &Each : Messages_)
      (Each.DeliverAt_ <= Now_ && !isFrozen(Each.To_) ? Due : Later)
          .push_back(std::move(Each));
    Messages_ = std::move(Later);
    for (const Message &Each : Due)
      receive(Each);
  }
  void receive(const Message &Received) {
    const std::size_t Index = std::stoul(Received.To_.text().substr(1));
    if (isMember(Received.To_))
      return receiveAt(Index, Received);
    Gateways_[Index].Tokens_->accept(std::get<TokenGrant>(Received.Body_),
                                     Now_);
  }
  void receiveAt(std::size_t Index, const Message &Received) {
    TokenRelay::Grants Grants;
    if (const auto *Grant = std::get_if<TokenGrant>(&Received.Body_)) {
      Relays_[Index]->handle(*Grant, Now_, Grants);
    } else {
      const auto &Request = std::get<TokenRequest>(Received.Body_);
      if (!isMember(Received.From_))
        Relays_[Index]->handle(Received.From_, Request, Now_, Grants);
      else if (Index == Leader_)
        send(member(Index), Received.From_,
             Issuer_.handle(Received.From_, Request, Now_));
    }
    for (GatewayTokenGrant &Grant : Grants)
      send(member(Index), Grant.To_, std::move(Grant.Grant_));
  }

  TeamLimit Limit_;
  Random Random_;
  std::size_t Leader_ = 0;
  TokenIssuer Issuer_;
  std::array<std::unique_ptr<TokenRelay>, MemberCount> Relays_;
  std::vector<Gateway> Gateways_;
  std::deque<Message> Messages_;
  double Arrivals_ = 0;
};

TeamLimit limitOf(double Rate, double Burst) {
  return {RequestRate(Rate), RequestTokens(Burst)};
}

struct LoadCase {
  const char *Name_;
  double Rate_;
  double Burst_;
  std::size_t GatewayCount_;
};

class FleetLimitTest : public testing::TestWithParam<LoadCase> {
protected:
  TeamLimit limit() const {
    return limitOf(GetParam().Rate_, GetParam().Burst_);
  }
};

// Guards against a limiter that refuses what is within the limit: usual traffic
// is 1/1.6 of the rate, at any gateway.
TEST_P(FleetLimitTest, RefusesNothingWithinTheLimit) {
  Fleet Tested(limit(), GetParam().GatewayCount_, 1);
  for (std::size_t Gateway = 0; Gateway < GetParam().GatewayCount_; ++Gateway)
    Tested.follow(Gateway, Gateway % Fleet::MemberCount);
  Tested.run(30s, GetParam().Rate_ / 1.6);
  EXPECT_EQ(Tested.RefusedOverLimit_, 0U);
  EXPECT_EQ(Tested.RefusedNotReady_, 0U);
}

// Guards against a limit that is not reached or exceeded under seven times the
// usual traffic.
TEST_P(FleetLimitTest, ServesTheLimitUnderOverload) {
  Fleet Tested(limit(), GetParam().GatewayCount_, 1);
  Tested.run(20s, GetParam().Rate_ * 4.7);
  EXPECT_LE(double(Tested.mostInWindow()), Fleet::bound(limit()));
  EXPECT_GE(double(Tested.RunAt_.size()), GetParam().Rate_ * 20 * 0.9);
}

// Guards against more than the limit in any window of 5 s, whatever freezes,
// restarts or is cut off, in any order.
TEST_P(FleetLimitTest, HoldsThroughAnyInterleavingOfFaults) {
  for (std::uint64_t Seed = 1; Seed <= 4; ++Seed) {
    Fleet Tested(limit(), GetParam().GatewayCount_, Seed);
    Random Faults{RandomSeed(Seed * 7919)};
    auto Gateway = [&] { return Faults.below(GetParam().GatewayCount_); };
    auto Member = [&] { return Faults.below(Fleet::MemberCount); };
    for (int Round = 0; Round < 60; ++Round) {
      switch (Faults.below(10)) {
      case 0:
        Tested.Frozen_.insert(Fleet::gateway(Gateway()));
        break;
      case 1:
        Tested.Frozen_.insert(Fleet::member(Member()));
        break;
      case 2:
        Tested.Frozen_.clear();
        break;
      case 3:
        Tested.startGateway(Gateway());
        break;
      case 4:
        Tested.startMember(Member());
        break;
      case 5:
        Tested.lead(Member());
        break;
      case 6: {
        const MemberId Left = Fleet::gateway(Gateway());
        const MemberId Right = Fleet::member(Member());
        Tested.Cut_.insert({Left, Right});
        if (Faults.below(2) == 0)
          Tested.Cut_.insert({Right, Left});
        break;
      }
      case 7: {
        const MemberId Left = Fleet::member(Member());
        const MemberId Right = Fleet::member(Member());
        Tested.Cut_.insert({Left, Right});
        break;
      }
      case 8:
        Tested.Cut_.clear();
        break;
      default:
        Tested.follow(Gateway(), Member());
      }
      Tested.run(std::chrono::milliseconds(10 + Faults.below(900)),
                 GetParam().Rate_ * (Faults.below(4) == 0 ? 0.1 : 4.7));
    }
    EXPECT_LE(double(Tested.mostInWindow()), Fleet::bound(limit()))
        << "seed " << Seed;
  }
}

// Guards against a lowered limit that binds later than one window.
TEST_P(FleetLimitTest, BindsALoweredLimitAfterOneWindow) {
  Fleet Tested(limit(), GetParam().GatewayCount_, 1);
  Tested.run(6s, GetParam().Rate_ * 4.7);
  const TeamLimit Lower = limitOf(GetParam().Rate_ / 3, GetParam().Burst_ / 3);
  Tested.setLimit(Lower);
  Tested.run(TokenLifetime, GetParam().Rate_ * 4.7);
  Tested.RunAt_.clear();
  Tested.run(15s, GetParam().Rate_ * 4.7);
  EXPECT_LE(double(Tested.mostInWindow()), Fleet::bound(Lower));
}

INSTANTIATE_TEST_SUITE_P(Teams, FleetLimitTest,
                         testing::Values(LoadCase{"Large", 452, 452, 30},
                                         LoadCase{"WithoutBurst", 300, 0, 30},
                                         LoadCase{"Middle", 40, 80, 30},
                                         LoadCase{"Small", 3, 3, 30},
                                         LoadCase{"TwoGateways", 100, 100, 2}),
                         CaseName());

} // namespace
} // namespace jaybridge
