#include <LibCore/Random.h>
#include <LibDetection/EjectionAuthority.h>
#include <LibDetection/EvidenceReporter.h>

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace jaybridge {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t AuthorityCount = 3;
constexpr std::size_t GatewayCount = 8;
constexpr std::size_t InstanceCount = 10;
constexpr Percentage Floor(70);

/// Several authorities and reporters in one process. At most one authority
/// holds the lease at a time, but authorities and gateways freeze, messages are
/// lost, duplicated and delayed, links are cut in one direction, and gateways
/// send their reports to any authority.
class EjectionFleet {
public:
  explicit EjectionFleet(std::uint64_t Seed) : Random_(RandomSeed(Seed)) {
    for (std::size_t I = 0; I < AuthorityCount; ++I)
      Authorities_.push_back(makeAuthority());
    for (std::size_t G = 0; G < GatewayCount; ++G) {
      Reporters_.push_back(makeReporter(G));
      BelievedAuthority_.push_back(0);
      AppliedLists_.emplace_back();
    }
    AuthorityFrozenUntil_.resize(AuthorityCount);
    GatewayFrozenUntil_.resize(GatewayCount);
  }

  void run(Duration Length) {
    while (Now_ < TimePoint{} + Length) {
      Now_ += milliseconds(5);
      injectFaults();
      deliverDue();
      for (std::size_t G = 0; G < GatewayCount; ++G)
        stepGateway(G);
      for (std::size_t A = 0; A < AuthorityCount; ++A)
        if (Now_ >= AuthorityFrozenUntil_[A]) {
          std::vector<EjectionAuthority::Effect> Effects;
          Authorities_[A].advance(Now_, Effects);
          send(A, Effects);
        }
      checkFloor();
    }
  }

  std::size_t maxUnionSize() const { return MaxUnionSize_; }
  std::size_t nonEmptyListCount() const { return NonEmptyListCount_; }
  std::size_t takeovers() const { return Fence_; }

private:
  struct AppliedList {
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
    Draft.FalseEjectionRate_ = ErrorRate(0.1);
    PoolChanged Pool{{Service_, Profile::create(Draft).takeValue(), {}}, {}};
    for (std::size_t I = 0; I < InstanceCount; ++I)
      Pool.Instances_.push_back(
          {instance(I), Service_, {}, {}, SlotCount(4), {}, {}});
    EjectionAuthority Authority(Service_);
    std::vector<EjectionAuthority::Effect> Ignored;
    Authority.handle(Pool, Now_, Ignored);
    return Authority;
  }

  EvidenceReporter makeReporter(std::size_t G) {
    EvidenceReporterSettings Settings;
    Settings.Self_ = MemberId("g" + std::to_string(G));
    Settings.InitialReportNumber_ = ReportNumber(
        static_cast<std::uint64_t>(Now_.time_since_epoch().count()));
    return EvidenceReporter(Settings);
  }

  void injectFaults() {
    // Leases of 1.5 s are renewed, or pass to another authority after they have
    // expired. The holder may be frozen meanwhile.
    if (Now_ >= RenewAt_) {
      RenewAt_ = Now_ + milliseconds(500);
      bool IsRenewed = Now_ < LeaseUntil_ && Random_.below(10) > 0;
      if (!IsRenewed && Now_ >= LeaseUntil_) {
        LeaseHolder_ = Random_.below(AuthorityCount);
        ++Fence_;
        IsRenewed = true;
      }
      if (IsRenewed && Now_ >= AuthorityFrozenUntil_[LeaseHolder_]) {
        LeaseUntil_ = Now_ + milliseconds(1500);
        std::vector<EjectionAuthority::Effect> Effects;
        Authorities_[LeaseHolder_].handle(
            AuthorityGranted{FenceNumber(Fence_), LeaseUntil_}, Now_, Effects);
        send(LeaseHolder_, Effects);
      }
    }
    std::uint64_t Choice = Random_.below(4000);
    if (Choice < 4)
      AuthorityFrozenUntil_[Random_.below(AuthorityCount)] =
          Now_ + milliseconds(Random_.below(6000));
    if (Choice >= 10 && Choice < 20)
      GatewayFrozenUntil_[Random_.below(GatewayCount)] =
          Now_ + milliseconds(Random_.below(4000));
    if (Choice == 20) {
      std::size_t G = Random_.below(GatewayCount);
      Reporters_[G] = makeReporter(G);
      AppliedLists_[G] = {};
    }
    if (Choice == 21)
      Authorities_[Random_.below(AuthorityCount)] = makeAuthority();
    if (Choice >= 30 && Choice < 60)
      CutLinks_.insert(
          {Random_.below(AuthorityCount), Random_.below(GatewayCount)});
    if (Choice >= 60 && Choice < 66)
      CutLinks_.clear();
    if (Choice >= 100 && Choice < 200)
      BelievedAuthority_[Random_.below(GatewayCount)] =
          Random_.below(AuthorityCount);
    if (Choice >= 200 && Choice < 210)
      std::fill(BelievedAuthority_.begin(), BelievedAuthority_.end(),
                LeaseHolder_);
    // The set of faulty instances changes faster than lists expire.
    if (Choice >= 300 && Choice < 308) {
      Faulty_.clear();
      for (std::size_t I = 0; I < 4; ++I)
        Faulty_.insert(Random_.below(InstanceCount));
    }
  }

  void stepGateway(std::size_t G) {
    if (Now_ < GatewayFrozenUntil_[G])
      return;
    std::vector<EvidenceReporter::Effect> Effects;
    Reporters_[G].advance(Now_, Effects);
    std::size_t I = Random_.below(InstanceCount);
    bool IsFaulty = Faulty_.contains(I) && Random_.below(10) < 8;
    Reporters_[G].handle(AttemptObserved{Service_,
                                         instance(I),
                                         IsFaulty ? AttemptResult::TimedOut
                                                  : AttemptResult::Answered,
                                         StatusCode(200),
                                         milliseconds(20),
                                         {}},
                         Now_, Effects);
    apply(G, Effects);
  }

  void apply(std::size_t G, std::vector<EvidenceReporter::Effect> &Effects) {
    for (auto &Emitted : Effects) {
      if (auto *Sent = std::get_if<SendEvidenceReport>(&Emitted))
        transmit(Packet{BelievedAuthority_[G], G, std::move(Sent->Report_)});
      else if (auto *Changed = std::get_if<EjectionListChanged>(&Emitted)) {
        AppliedLists_[G] = {Changed->Ejected_, Changed->ValidUntil_};
        NonEmptyListCount_ += Changed->Ejected_.empty() ? 0 : 1;
      }
    }
  }

  void send(std::size_t A, std::vector<EjectionAuthority::Effect> &Effects) {
    for (auto &Emitted : Effects)
      if (auto *Message = std::get_if<EjectionList>(&Emitted))
        transmit(Packet{A, std::stoul(Message->Gateway_.text().substr(1)),
                        std::move(*Message)});
  }

  void transmit(Packet Sent) {
    std::uint64_t Copies = Random_.below(10) == 0 ? 2 : 1;
    for (std::uint64_t I = 0; I < Copies; ++I)
      if (Random_.below(20) != 0)
        InFlight_.emplace(Now_ + milliseconds(Random_.below(
                                     Random_.below(10) == 0 ? 3000 : 10)),
                          Sent);
  }

  void deliverDue() {
    while (!InFlight_.empty() && InFlight_.begin()->first <= Now_) {
      Packet Received = InFlight_.begin()->second;
      InFlight_.erase(InFlight_.begin());
      bool IsFrozen = std::holds_alternative<EvidenceReport>(Received.Content_)
                          ? Now_ < AuthorityFrozenUntil_[Received.Authority_]
                          : Now_ < GatewayFrozenUntil_[Received.Gateway_];
      if (IsFrozen) {
        // The kernel buffers the message until the process runs again.
        InFlight_.emplace(Now_ + milliseconds(5), Received);
        continue;
      }
      if (auto *Report = std::get_if<EvidenceReport>(&Received.Content_)) {
        if (CutLinks_.contains({Received.Authority_, Received.Gateway_}))
          continue;
        std::vector<EjectionAuthority::Effect> Effects;
        Authorities_[Received.Authority_].handle(*Report, Now_, Effects);
        send(Received.Authority_, Effects);
      } else {
        std::vector<EvidenceReporter::Effect> Effects;
        Reporters_[Received.Gateway_].handle(
            EjectionListReceived{std::get<EjectionList>(Received.Content_)},
            Now_, Effects);
        apply(Received.Gateway_, Effects);
      }
    }
  }

  void checkFloor() {
    std::set<InstanceId> Union;
    for (const AppliedList &Applied : AppliedLists_)
      if (Now_ < Applied.ValidUntil_)
        Union.insert(Applied.Ejected_.begin(), Applied.Ejected_.end());
    MaxUnionSize_ = std::max(MaxUnionSize_, Union.size());
  }

  Random Random_;
  ServiceName Service_{"s"};
  TimePoint Now_;
  std::vector<EjectionAuthority> Authorities_;
  std::vector<EvidenceReporter> Reporters_;
  std::vector<std::size_t> BelievedAuthority_;
  std::vector<AppliedList> AppliedLists_;
  std::vector<TimePoint> AuthorityFrozenUntil_;
  std::vector<TimePoint> GatewayFrozenUntil_;
  std::multimap<TimePoint, Packet> InFlight_;
  std::set<std::pair<std::size_t, std::size_t>> CutLinks_;
  std::set<std::size_t> Faulty_{0, 1, 2, 3};
  std::size_t LeaseHolder_ = 0;
  std::uint64_t Fence_ = 0;
  TimePoint LeaseUntil_;
  TimePoint RenewAt_;
  std::size_t MaxUnionSize_ = 0;
  std::size_t NonEmptyListCount_ = 0;
};

class EjectionAuthorityRandomizedTest
    : public testing::TestWithParam<std::uint64_t> {};

// Guards against more ejections than the floor permits because of a takeover, a
// stale authority, late lists or lists that differ between gateways.
TEST_P(EjectionAuthorityRandomizedTest, UnionOfListsKeepsTheFloor) {
  EjectionFleet Fleet(GetParam());
  Fleet.run(std::chrono::seconds(240));
  EXPECT_LE(Fleet.maxUnionSize(),
            permittedEjections(EventCount(InstanceCount), Floor).value());
  // The injected faults must not stop all ejections, or the floor would not be
  // tested.
  EXPECT_GT(Fleet.nonEmptyListCount(), 100U);
  EXPECT_GT(Fleet.takeovers(), 5U);
  EXPECT_GE(Fleet.maxUnionSize(), 2U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, EjectionAuthorityRandomizedTest,
                         testing::Range<std::uint64_t>(1, 9));

} // namespace
} // namespace jaybridge
