#include <LibCore/Random.h>
#include <LibDetection/EjectionAuthority.h>
#include <LibDetection/EvidenceReporter.h>

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace jaybridge {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t Candidates = 3;
constexpr std::size_t GatewayCount = 8;
constexpr std::size_t InstanceCount = 10;
constexpr Percentage Floor(70);

/// Several authorities and reporters in one process. At most one authority
/// holds the lease at a time, but authorities and gateways freeze, messages are
/// lost, copied and late, links are cut one-way, and gateways send their
/// reports to whichever authority they believe in.
class EjectionFleet {
public:
  explicit EjectionFleet(std::uint64_t Seed) : Random_(RandomSeed(Seed)) {
    for (std::size_t I = 0; I < Candidates; ++I)
      Authorities_.push_back(makeAuthority());
    for (std::size_t G = 0; G < GatewayCount; ++G) {
      Reporters_.push_back(makeReporter(G));
      Believed_.push_back(0);
      Lists_.emplace_back();
    }
    AuthorityFrozenUntil_.resize(Candidates);
    GatewayFrozenUntil_.resize(GatewayCount);
  }

  void run(Duration Length) {
    while (Now_ < TimePoint{} + Length) {
      Now_ += milliseconds(5);
      disturb();
      deliverDue();
      for (std::size_t G = 0; G < GatewayCount; ++G)
        stepGateway(G);
      for (std::size_t A = 0; A < Candidates; ++A)
        if (Now_ >= AuthorityFrozenUntil_[A]) {
          std::vector<EjectionAuthority::Effect> Effects;
          Authorities_[A].advance(Now_, Effects);
          send(A, Effects);
        }
      checkFloor();
    }
  }

  std::size_t greatestUnion() const { return GreatestUnion_; }
  std::size_t appliedLists() const { return AppliedLists_; }
  std::size_t takeovers() const { return Fence_; }

private:
  struct List {
    std::vector<InstanceId> Ejected_;
    TimePoint ValidUntil_;
  };
  struct Packet {
    std::size_t Authority_;
    std::size_t Gateway_;
    std::variant<EvidenceReport, EjectionList> Content_;
  };

  static InstanceId instance(std::size_t I) {
    return InstanceId("i" + std::to_string(I));
  }

  EjectionAuthority makeAuthority() {
    ProfileDraft Draft;
    Draft.Name_ = ProfileName("p");
    Draft.Floor_ = Floor;
    Draft.FalseEjection_ = ErrorRate(0.1);
    PoolChanged Pool{{Service_, Profile::create(Draft).takeValue(), {}}, {}};
    for (std::size_t I = 0; I < InstanceCount; ++I)
      Pool.Instances_.push_back(
          {instance(I), Service_, {}, {}, SlotCount(4), {}, {}});
    EjectionAuthority Made(Service_);
    std::vector<EjectionAuthority::Effect> None;
    Made.handle(Pool, Now_, None);
    return Made;
  }

  EvidenceReporter makeReporter(std::size_t G) {
    EvidenceReporterSettings Settings;
    Settings.Self_ = MemberId("g" + std::to_string(G));
    Settings.InitialReportNumber_ = ReportNumber(
        static_cast<std::uint64_t>(Now_.time_since_epoch().count()));
    return EvidenceReporter(Settings);
  }

  void disturb() {
    // Leases of 1.5 s are renewed, or go over to another candidate after they
    // have run out; the holder may be frozen meanwhile.
    if (Now_ >= RenewAt_) {
      RenewAt_ = Now_ + milliseconds(500);
      bool IsRenewed = Now_ < LeaseUntil_ && Random_.below(10) > 0;
      if (!IsRenewed && Now_ >= LeaseUntil_) {
        Holder_ = Random_.below(Candidates);
        ++Fence_;
        IsRenewed = true;
      }
      if (IsRenewed && Now_ >= AuthorityFrozenUntil_[Holder_]) {
        LeaseUntil_ = Now_ + milliseconds(1500);
        std::vector<EjectionAuthority::Effect> Effects;
        Authorities_[Holder_].handle(
            AuthorityGranted{FenceNumber(Fence_), LeaseUntil_}, Now_, Effects);
        send(Holder_, Effects);
      }
    }
    std::uint64_t Choice = Random_.below(4000);
    if (Choice < 4)
      AuthorityFrozenUntil_[Random_.below(Candidates)] =
          Now_ + milliseconds(Random_.below(6000));
    if (Choice >= 10 && Choice < 20)
      GatewayFrozenUntil_[Random_.below(GatewayCount)] =
          Now_ + milliseconds(Random_.below(4000));
    if (Choice == 20) {
      std::size_t G = Random_.below(GatewayCount);
      Reporters_[G] = makeReporter(G);
      Lists_[G] = {};
    }
    if (Choice == 21)
      Authorities_[Random_.below(Candidates)] = makeAuthority();
    if (Choice >= 30 && Choice < 60)
      Cut_.insert({Random_.below(Candidates), Random_.below(GatewayCount)});
    if (Choice >= 60 && Choice < 66)
      Cut_.clear();
    if (Choice >= 100 && Choice < 200)
      Believed_[Random_.below(GatewayCount)] = Random_.below(Candidates);
    if (Choice >= 200 && Choice < 210)
      std::fill(Believed_.begin(), Believed_.end(), Holder_);
    // Faulty sets change faster than lists expire.
    if (Choice >= 300 && Choice < 308) {
      Bad_.clear();
      for (std::size_t I = 0; I < 4; ++I)
        Bad_.insert(Random_.below(InstanceCount));
    }
  }

  void stepGateway(std::size_t G) {
    if (Now_ < GatewayFrozenUntil_[G])
      return;
    std::vector<EvidenceReporter::Effect> Effects;
    Reporters_[G].advance(Now_, Effects);
    std::size_t I = Random_.below(InstanceCount);
    bool IsBad = Bad_.contains(I) && Random_.below(10) < 8;
    Reporters_[G].handle(AttemptObserved{Service_,
                                         instance(I),
                                         IsBad ? AttemptResult::TimedOut
                                               : AttemptResult::Answered,
                                         StatusCode(200),
                                         milliseconds(20),
                                         {}},
                         Now_, Effects);
    apply(G, Effects);
  }

  void apply(std::size_t G, std::vector<EvidenceReporter::Effect> &Effects) {
    for (auto &Each : Effects) {
      if (auto *Sent = std::get_if<SendEvidenceReport>(&Each))
        put(Packet{Believed_[G], G, std::move(Sent->Report_)});
      else if (auto *Applied = std::get_if<EjectionListChanged>(&Each)) {
        Lists_[G] = {Applied->Ejected_, Applied->ValidUntil_};
        AppliedLists_ += Applied->Ejected_.empty() ? 0 : 1;
      }
    }
  }

  void send(std::size_t A, std::vector<EjectionAuthority::Effect> &Effects) {
    for (auto &Each : Effects)
      if (auto *Reply = std::get_if<EjectionList>(&Each))
        put(Packet{A, std::stoul(Reply->Gateway_.text().substr(1)),
                   std::move(*Reply)});
  }

  void put(Packet Sent) {
    std::uint64_t Copies = Random_.below(10) == 0 ? 2 : 1;
    for (std::uint64_t I = 0; I < Copies; ++I)
      if (Random_.below(20) != 0)
        Air_.emplace(Now_ + milliseconds(Random_.below(
                                Random_.below(10) == 0 ? 3000 : 10)),
                     Sent);
  }

  void deliverDue() {
    while (!Air_.empty() && Air_.begin()->first <= Now_) {
      Packet Each = Air_.begin()->second;
      Air_.erase(Air_.begin());
      bool IsFrozen = std::holds_alternative<EvidenceReport>(Each.Content_)
                          ? Now_ < AuthorityFrozenUntil_[Each.Authority_]
                          : Now_ < GatewayFrozenUntil_[Each.Gateway_];
      if (IsFrozen) {
        // The kernel keeps it until the process runs again.
        Air_.emplace(Now_ + milliseconds(5), Each);
        continue;
      }
      if (auto *Report = std::get_if<EvidenceReport>(&Each.Content_)) {
        if (Cut_.contains({Each.Authority_, Each.Gateway_}))
          continue;
        std::vector<EjectionAuthority::Effect> Effects;
        Authorities_[Each.Authority_].handle(*Report, Now_, Effects);
        send(Each.Authority_, Effects);
      } else {
        std::vector<EvidenceReporter::Effect> Effects;
        Reporters_[Each.Gateway_].handle(
            EjectionListReceived{std::get<EjectionList>(Each.Content_)}, Now_,
            Effects);
        apply(Each.Gateway_, Effects);
      }
    }
  }

  void checkFloor() {
    std::set<InstanceId> Union;
    for (const List &Each : Lists_)
      if (Now_ < Each.ValidUntil_)
        Union.insert(Each.Ejected_.begin(), Each.Ejected_.end());
    GreatestUnion_ = std::max(GreatestUnion_, Union.size());
  }

  Random Random_;
  ServiceName Service_{"s"};
  TimePoint Now_;
  std::vector<EjectionAuthority> Authorities_;
  std::vector<EvidenceReporter> Reporters_;
  std::vector<std::size_t> Believed_;
  std::vector<List> Lists_;
  std::vector<TimePoint> AuthorityFrozenUntil_;
  std::vector<TimePoint> GatewayFrozenUntil_;
  std::multimap<TimePoint, Packet> Air_;
  std::set<std::pair<std::size_t, std::size_t>> Cut_;
  std::set<std::size_t> Bad_{0, 1, 2, 3};
  std::size_t Holder_ = 0;
  std::uint64_t Fence_ = 0;
  TimePoint LeaseUntil_;
  TimePoint RenewAt_;
  std::size_t GreatestUnion_ = 0;
  std::size_t AppliedLists_ = 0;
};

class EjectionRandomisedTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against a floor that is crossed by a takeover, a stale authority,
// late lists and lists that differ between gateways.
TEST_P(EjectionRandomisedTest, UnionOfListsKeepsTheFloor) {
  EjectionFleet Fleet(GetParam());
  Fleet.run(std::chrono::seconds(240));
  EXPECT_LE(Fleet.greatestUnion(),
            permittedEjections(EventCount(InstanceCount), Floor).value());
  // The faults must not stop ejection, or nothing would be tested.
  EXPECT_GT(Fleet.appliedLists(), 100U);
  EXPECT_GT(Fleet.takeovers(), 5U);
  EXPECT_GE(Fleet.greatestUnion(), 2U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, EjectionRandomisedTest,
                         testing::Range<std::uint64_t>(1, 9));

} // namespace
} // namespace jaybridge
