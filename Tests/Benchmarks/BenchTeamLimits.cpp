#include <LibCore/Random.h>
#include <LibQuota/GatewayTokens.h>
#include <LibQuota/TokenIssuer.h>
#include <LibQuota/TokenRelay.h>
#include <LibWire/RegistryCodec.h>

#include <benchmark/benchmark.h>

#include <deque>

// Measures the bytes and messages of the limits of teams, with the decision
// objects of gateways, members and the leader in logical time. All teams are
// limited, and each request arrives at a random gateway.

namespace jaybridge {
namespace {

/// Bytes that the envelope and the TCP/IP headers add to each message.
constexpr std::size_t MessageOverheadBytes = 64;
constexpr Duration Step = 5ms;
constexpr Duration Latency = 5ms;
constexpr Duration WarmUp = 500ms;
constexpr Duration Measured = 1s;

struct Traffic {
  std::size_t Messages_ = 0;
  std::size_t Bytes_ = 0;

  void count(const SubscriptionMessage &Sent) {
    ++Messages_;
    Bytes_ += encodeSubscriptionMessage(Sent).size() + MessageOverheadBytes;
  }
};

class Fleet {
public:
  Fleet(std::size_t GatewayCount, std::size_t MemberCount,
        std::size_t TeamCount, double Rate)
      : Random_(RandomSeed(1)), Rate_(Rate) {
    TeamLimits Limits;
    const double TeamRate = Rate / static_cast<double>(TeamCount) * 1.6;
    for (std::size_t Index = 0; Index < TeamCount; ++Index) {
      Teams_.emplace_back("team" + std::to_string(Index));
      Limits[Teams_.back()] = {RequestRate(TeamRate), RequestTokens(TeamRate)};
    }
    Issuer_.setLimits(Limits, Now_);
    for (std::size_t Index = 0; Index < MemberCount; ++Index) {
      Relays_.emplace_back(TokenRound(Random_.next() >> 36));
      Members_.emplace_back("m" + std::to_string(Index));
    }
    for (std::size_t Index = 0; Index < GatewayCount; ++Index) {
      Gateways_.emplace_back(TokenRound(Random_.next() >> 36));
      Names_.emplace_back("g" + std::to_string(Index));
      Indexes_[Names_.back()] = Index;
    }
  }

  void run(Duration Time) {
    for (const TimePoint End = Now_ + Time; Now_ < End; Now_ += Step) {
      deliver();
      Arrivals_ += Rate_ * std::chrono::duration<double>(Step).count();
      for (; Arrivals_ >= 1; Arrivals_ -= 1) {
        GatewayTokens &At = Gateways_[Random_.below(Gateways_.size())];
        const TeamName &Team = Teams_[Random_.below(Teams_.size())];
        if (!At.take(Team, Now_))
          At.request(Team, Now_);
      }
      for (std::size_t Index = 0; Index < Gateways_.size(); ++Index)
        if (auto Request = Gateways_[Index].takeRequest(Now_)) {
          OfGateways_.count(*Request);
          ToMembers_.push_back({Now_ + Latency, Index, std::move(*Request)});
        }
      for (std::size_t Index = 0; Index < Relays_.size(); ++Index)
        if (auto Request = Relays_[Index].takeRequest(Now_)) {
          OfLeader_.count(*Request);
          TokenGrant Grant = Issuer_.handle(Members_[Index], *Request, Now_);
          OfLeader_.count(Grant);
          ToRelays_.push_back({Now_ + Latency, Index, std::move(Grant)});
        }
    }
  }

  Traffic OfGateways_;
  Traffic OfLeader_;

private:
  template <typename Body> struct Message {
    TimePoint DeliverAt_;
    std::size_t Index_;
    Body Body_;
  };
  template <typename Body>
  static std::optional<Message<Body>> takeDue(std::deque<Message<Body>> &Queue,
                                              TimePoint Now) {
    if (Queue.empty() || Queue.front().DeliverAt_ > Now)
      return std::nullopt;
    Message<Body> Due = std::move(Queue.front());
    Queue.pop_front();
    return Due;
  }
  void deliver() {
    TokenRelay::Grants Grants;
    while (auto Due = takeDue(ToRelays_, Now_))
      Relays_[Due->Index_].handle(Due->Body_, Now_, Grants);
    while (auto Due = takeDue(ToMembers_, Now_))
      Relays_[Due->Index_ % Relays_.size()].handle(Names_[Due->Index_],
                                                   Due->Body_, Now_, Grants);
    for (GatewayTokenGrant &Grant : Grants) {
      OfGateways_.count(Grant.Grant_);
      ToGateways_.push_back(
          {Now_ + Latency, Indexes_[Grant.To_], std::move(Grant.Grant_)});
    }
    while (auto Due = takeDue(ToGateways_, Now_))
      Gateways_[Due->Index_].accept(Due->Body_, Now_);
  }

  TimePoint Now_{1h};
  Random Random_;
  double Rate_;
  double Arrivals_ = 0;
  std::vector<TeamName> Teams_;
  std::vector<MemberId> Members_;
  std::vector<MemberId> Names_;
  std::map<MemberId, std::size_t> Indexes_;
  TokenIssuer Issuer_;
  std::vector<TokenRelay> Relays_;
  std::vector<GatewayTokens> Gateways_;
  std::deque<Message<TokenRequest>> ToMembers_;
  std::deque<Message<TokenGrant>> ToRelays_;
  std::deque<Message<TokenGrant>> ToGateways_;
};

void teamLimits(benchmark::State &State) {
  const auto GatewayCount = static_cast<std::size_t>(State.range(0));
  const auto MemberCount = static_cast<std::size_t>(State.range(1));
  for (auto _ : State) {
    Fleet Measuring(GatewayCount, MemberCount,
                    static_cast<std::size_t>(State.range(2)),
                    static_cast<double>(State.range(3)));
    Measuring.run(WarmUp);
    Measuring.OfGateways_ = {};
    Measuring.OfLeader_ = {};
    Measuring.run(Measured);
    const double Gateways = static_cast<double>(GatewayCount);
    State.counters["gateway_bytes_per_s"] =
        static_cast<double>(Measuring.OfGateways_.Bytes_) / Gateways;
    State.counters["gateway_messages_per_s"] =
        static_cast<double>(Measuring.OfGateways_.Messages_) / Gateways;
    State.counters["leader_bytes_per_s"] =
        static_cast<double>(Measuring.OfLeader_.Bytes_);
    State.counters["leader_messages_per_s"] =
        static_cast<double>(Measuring.OfLeader_.Messages_);
  }
}

// Gateways, members, teams, requests per second of all teams together.
BENCHMARK(teamLimits)
    ->Args({90, 11, 75, 1240})
    ->Args({900, 11, 750, 12400})
    ->Args({7700, 29, 390000, 1600000})
    ->Unit(benchmark::kMillisecond)
    ->Iterations(1);

} // namespace
} // namespace jaybridge

BENCHMARK_MAIN();
