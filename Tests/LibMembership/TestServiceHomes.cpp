#include <LibMembership/ServiceHomes.h>
#include <Support/CaseName.h>
#include <Support/MembershipFleet.h>

#include <algorithm>

namespace jaybridge {
namespace {

struct HomesCase {
  const char *Name_;
  std::size_t Members_;
  HomeCount Homes_;
};

class ServiceHomesTest : public testing::TestWithParam<HomesCase> {
protected:
  static constexpr std::size_t Services = 600;

  ServiceHomesTest() {
    for (std::size_t I = 0; I < GetParam().Members_; ++I)
      Homes_.apply(memberRecordFor(I));
  }
  static ServiceName service(std::size_t Number) {
    return ServiceName("service-" + std::to_string(Number));
  }
  std::vector<std::vector<MemberId>> all() const {
    std::vector<std::vector<MemberId>> Chosen;
    for (std::size_t I = 0; I < Services; ++I)
      Chosen.push_back(Homes_.homesFor(service(I)));
    return Chosen;
  }

  ServiceHomes Homes_ = ServiceHomes::create(GetParam().Homes_).takeValue();
};

// Guards against a failure domain without homes or with too many of them.
TEST_P(ServiceHomesTest, HasHomesInEachFailureDomain) {
  for (std::size_t I = 0; I < Services; ++I) {
    std::map<std::size_t, std::size_t> PerDomain;
    for (const MemberId &Id : Homes_.homesFor(service(I)))
      ++PerDomain[std::stoul(Id.text().substr(3)) % 3];
    ASSERT_EQ(PerDomain.size(), 3U);
    for (auto [Domain, Count] : PerDomain)
      ASSERT_EQ(Count, GetParam().Homes_.value()) << Domain;
  }
}

// Guards against a change of one member that moves services of others.
TEST_P(ServiceHomesTest, LeaveAndJoinMoveOnlyTheOwnShare) {
  auto Before = all();
  MemberRecord Gone = memberRecordFor(4);
  Gone.State_ = MemberState::Dead;
  Homes_.apply(Gone);
  auto Without = all();
  std::size_t Moved = 0;
  for (std::size_t I = 0; I < Services; ++I) {
    bool WasHome = std::count(Before[I].begin(), Before[I].end(), Gone.Id_) > 0;
    EXPECT_EQ(Before[I] != Without[I], WasHome);
    Moved += WasHome ? 1 : 0;
  }
  // The expected share is homes per domain / members of the domain.
  std::size_t Expected =
      Services * GetParam().Homes_.value() * 3 / GetParam().Members_;
  RecordProperty("moved", static_cast<int>(Moved));
  EXPECT_GE(Moved * 2, Expected);
  EXPECT_LE(Moved, Expected * 2);
  Homes_.apply(memberRecordFor(4, 2));
  EXPECT_EQ(all(), Before);
}

// Guards against a ranking that loads one member far above the others.
TEST_P(ServiceHomesTest, SpreadsServicesOverMembers) {
  std::map<MemberId, std::size_t> Load;
  for (const auto &Chosen : all())
    for (const MemberId &Id : Chosen)
      ++Load[Id];
  std::size_t Mean =
      Services * GetParam().Homes_.value() * 3 / GetParam().Members_;
  EXPECT_EQ(Load.size(), GetParam().Members_);
  for (const auto &[Id, Count] : Load)
    EXPECT_LE(Count, 2 * Mean) << Id.text();
}

INSTANTIATE_TEST_SUITE_P(Fleets, ServiceHomesTest,
                         testing::Values(HomesCase{"Agency", 48, HomeCount(1)},
                                         HomesCase{"AgencyTwo", 48,
                                                   HomeCount(2)},
                                         HomesCase{"Small", 9, HomeCount(1)}),
                         CaseName());

} // namespace
} // namespace jaybridge
