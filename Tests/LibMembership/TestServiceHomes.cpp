#include <LibMembership/ServiceHomes.h>
#include <Support/CaseName.h>
#include <Support/MembershipFleet.h>

#include <algorithm>

namespace jaybridge {
namespace {

struct HomesCase {
  const char *Name_;
  std::size_t MemberCount_;
  HomeCount Homes_;
};

class ServiceHomesTest : public testing::TestWithParam<HomesCase> {
protected:
  static constexpr std::size_t ServiceCount = 600;

  ServiceHomesTest() {
    for (std::size_t I = 0; I < GetParam().MemberCount_; ++I)
      Homes_.apply(memberRecordFor(I));
  }
  static ServiceName serviceNumber(std::size_t Number) {
    return ServiceName("service-" + std::to_string(Number));
  }
  std::vector<std::vector<MemberId>> homesOfAllServices() const {
    std::vector<std::vector<MemberId>> Chosen;
    for (std::size_t I = 0; I < ServiceCount; ++I)
      Chosen.push_back(Homes_.homesFor(serviceNumber(I)));
    return Chosen;
  }

  ServiceHomes Homes_ = ServiceHomes::create(GetParam().Homes_).takeValue();
};

// Guards against a failure domain with fewer or more homes than configured.
TEST_P(ServiceHomesTest, HasHomesInEachFailureDomain) {
  for (std::size_t I = 0; I < ServiceCount; ++I) {
    std::map<std::size_t, std::size_t> PerDomain;
    for (const MemberId &Id : Homes_.homesFor(serviceNumber(I)))
      ++PerDomain[std::stoul(Id.text().substr(3)) % 3];
    ASSERT_EQ(PerDomain.size(), 3U);
    for (auto [Domain, Count] : PerDomain)
      ASSERT_EQ(Count, GetParam().Homes_.value()) << Domain;
  }
}

// Guards against moving homes of other members when one member leaves or joins.
TEST_P(ServiceHomesTest, LeaveAndJoinMoveOnlyOwnServices) {
  auto Before = homesOfAllServices();
  MemberRecord Removed = memberRecordFor(4);
  Removed.State_ = MemberState::Dead;
  Homes_.apply(Removed);
  auto Without = homesOfAllServices();
  std::size_t Moved = 0;
  for (std::size_t I = 0; I < ServiceCount; ++I) {
    bool WasHome =
        std::count(Before[I].begin(), Before[I].end(), Removed.Id_) > 0;
    EXPECT_EQ(Before[I] != Without[I], WasHome);
    Moved += WasHome ? 1 : 0;
  }
  // Expected share of the member: homes per domain / members per domain.
  std::size_t Expected =
      ServiceCount * GetParam().Homes_.value() * 3 / GetParam().MemberCount_;
  RecordProperty("moved", static_cast<int>(Moved));
  EXPECT_GE(Moved * 2, Expected);
  EXPECT_LE(Moved, Expected * 2);
  Homes_.apply(memberRecordFor(4, 2));
  EXPECT_EQ(homesOfAllServices(), Before);
}

// Guards against a ranking that makes one member the home of far more services
// than the others.
TEST_P(ServiceHomesTest, SpreadsServicesOverMembers) {
  std::map<MemberId, std::size_t> Load;
  for (const auto &Chosen : homesOfAllServices())
    for (const MemberId &Id : Chosen)
      ++Load[Id];
  std::size_t Mean =
      ServiceCount * GetParam().Homes_.value() * 3 / GetParam().MemberCount_;
  EXPECT_EQ(Load.size(), GetParam().MemberCount_);
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
