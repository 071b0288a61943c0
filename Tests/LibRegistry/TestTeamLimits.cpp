#include "RegistryFleet.h"

#include <LibQuota/GatewayTokens.h>

namespace jaybridge {
namespace {

const TeamName Limited("t");
constexpr double Rate = 100;
constexpr std::size_t GatewayCount = 12;

/// Requests of one team that arrive at the gateways of a fleet in turn; each
/// spends a token or is refused at once or after 150 ms.
class TeamLoad {
public:
  TeamLoad() : Fleet_(5, GatewayCount) {
    for (std::size_t Index = 0; Index < GatewayCount; ++Index) {
      Gateways_.emplace_back(TokenRound(1000 * Index));
      Gateways_.back().setLimits(
          {{Limited, {RequestRate(Rate), RequestTokens(Rate)}}});
    }
    Waiting_.resize(GatewayCount);
    while (Fleet_.leader() == 5)
      Fleet_.run(100ms);
    Fleet_.run(8s);
    Fleet_.writeDocument(Fleet_.leader(), 1, " h.example t:100\n");
    Fleet_.run(1s);
  }

  /// Returns how many requests ran.
  std::size_t run(Duration Time, double RequestsPerSecond) {
    const std::size_t Before = RunAt_.size();
    for (const TimePoint End = Fleet_.now() + Time; Fleet_.now() < End;) {
      Fleet_.run(RegistryFleet::TimeStep);
      Arrivals_ +=
          RequestsPerSecond *
          std::chrono::duration<double>(RegistryFleet::TimeStep).count();
      for (; Arrivals_ >= 1; Arrivals_ -= 1)
        arrive(Next_++ % GatewayCount);
      for (std::size_t Index = 0; Index < GatewayCount; ++Index)
        serve(Index);
    }
    return RunAt_.size() - Before;
  }
  std::size_t mostInWindow() const {
    std::size_t Most = 0;
    for (std::size_t First = 0, Last = 0; First < RunAt_.size(); ++First) {
      while (Last < RunAt_.size() && RunAt_[Last] - RunAt_[First] < 5s)
        ++Last;
      Most = std::max(Most, Last - First);
    }
    return Most;
  }

  RegistryFleet Fleet_;
  std::size_t RefusedCount_ = 0;

private:
  void arrive(std::size_t Index) {
    const TimePoint Now = Fleet_.now();
    if (Gateways_[Index].take(Limited, Now))
      RunAt_.push_back(Now);
    else if (Gateways_[Index].request(Limited, Now))
      Waiting_[Index].push_back(Now);
    else
      ++RefusedCount_;
  }
  void serve(std::size_t Index) {
    const TimePoint Now = Fleet_.now();
    for (const TokenGrant &Grant : Fleet_.takeGrants(Index))
      Gateways_[Index].accept(Grant, Now);
    std::erase_if(Waiting_[Index], [&](TimePoint ArrivedAt) {
      if (Gateways_[Index].take(Limited, Now)) {
        RunAt_.push_back(Now);
        return true;
      }
      const bool IsRefused = Gateways_[Index].refusalTime(Limited, Now) ||
                             Now >= ArrivedAt + 150ms;
      RefusedCount_ += IsRefused ? 1 : 0;
      return IsRefused;
    });
    if (auto Request = Gateways_[Index].takeRequest(Now))
      Fleet_.requestTokens(Index, std::move(*Request));
  }

  std::vector<GatewayTokens> Gateways_;
  std::vector<std::vector<TimePoint>> Waiting_;
  std::vector<TimePoint> RunAt_;
  double Arrivals_ = 0;
  std::size_t Next_ = 0;
};

// Guards against refusals within the limit by the control members as they run.
TEST(TeamLimitFleetTest, RefusesNothingWithinTheLimit) {
  TeamLoad Load;
  EXPECT_GE(Load.run(10s, Rate / 1.6), 600U);
  EXPECT_EQ(Load.RefusedCount_, 0U);
}

// Guards against a limit that is exceeded, or a team that is no longer served,
// when the leader dies or a gateway is cut off under seven times the usual
// traffic.
TEST(TeamLimitFleetTest, HoldsTheLimitThroughLeaderDeathAndPartition) {
  TeamLoad Load;
  const double Overload = Rate / 1.6 * 7;
  EXPECT_GE(double(Load.run(10s, Overload)), 0.9 * Rate * 10);
  const std::size_t Leader = Load.Fleet_.leader();
  Load.Fleet_.stopMember(Leader);
  EXPECT_GE(double(Load.run(10s, Overload)), 0.5 * Rate * 10);
  Load.Fleet_.startMember(Leader);
  Load.run(5s, Overload);
  for (std::size_t Member = 0; Member < 5; ++Member)
    Load.Fleet_.setPartitioned(RegistryFleet::gateway(0),
                               RegistryFleet::member(Member), true);
  EXPECT_GE(double(Load.run(10s, Overload)), 0.7 * Rate * 10);
  for (std::size_t Member = 0; Member < 5; ++Member)
    Load.Fleet_.setPartitioned(RegistryFleet::gateway(0),
                               RegistryFleet::member(Member), false);
  Load.run(10s, Overload);
  EXPECT_LE(double(Load.mostInWindow()), (Rate * 5 + Rate) * 1.1 + 20);
}

} // namespace
} // namespace jaybridge
