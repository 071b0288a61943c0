#include "RegistryFleet.h"

#include <LibRegistry/InstanceHistory.h>
#include <Support/CaseName.h>

namespace jaybridge {
namespace {

InstanceRecord recordOf(std::size_t Number,
                        InstanceState State = InstanceState::Serving) {
  return InstanceRecord{
      InstanceId("i" + std::to_string(Number)),
      ServiceName("s"),
      Endpoint::create("10.5.0." + std::to_string(Number + 1) + ":80")
          .takeValue(),
      FailureDomain("d0"),
      SlotCount(4),
      State,
      Incarnation(5)};
}

struct HistoryCase {
  const char *Name_;
  std::uint64_t Since_;
  /// Numbers of the instances; none if the history does not reach back.
  std::optional<std::vector<std::size_t>> Changed_;
};

class InstanceHistoryTest : public testing::TestWithParam<HistoryCase> {};

// Guards against a subscriber that misses a change, gets an outdated record, or
// gets the whole registry for a few changes.
TEST_P(InstanceHistoryTest, NamesWhatChangedSinceARevision) {
  InstanceHistory History;
  History.record(LogIndex(3), LogIndex(5), {recordOf(0)});
  History.record(LogIndex(5), LogIndex(6), {recordOf(1)});
  History.record(LogIndex(6), LogIndex(9),
                 {recordOf(0, InstanceState::Draining)});
  const auto Changed = History.since(LogIndex(GetParam().Since_));
  ASSERT_EQ(Changed.has_value(), GetParam().Changed_.has_value());
  if (!Changed)
    return;
  std::vector<InstanceRecord> Expected;
  for (std::size_t Number : *GetParam().Changed_)
    Expected.push_back(recordOf(Number, Number == 0 ? InstanceState::Draining
                                                    : InstanceState::Serving));
  EXPECT_EQ(*Changed, Expected);
}

INSTANTIATE_TEST_SUITE_P(Revisions, InstanceHistoryTest,
                         testing::Values(HistoryCase{"All", 3, {{0, 1}}},
                                         HistoryCase{"Some", 5, {{0, 1}}},
                                         HistoryCase{"Last", 6, {{0}}},
                                         HistoryCase{"Latest", 9, std::nullopt},
                                         HistoryCase{"TooOld", 2, std::nullopt},
                                         HistoryCase{"BetweenChanges", 4,
                                                     std::nullopt}),
                         CaseName());

// Guards against a history that skips changes, or that grows without bound.
TEST(InstanceHistory, StartsAnewAfterAGapAndForgetsTheOldest) {
  InstanceHistory History;
  History.record(LogIndex(1), LogIndex(2), {recordOf(0)});
  History.record(LogIndex(7), LogIndex(8), {recordOf(1)});
  EXPECT_FALSE(History.since(LogIndex(1)));
  EXPECT_TRUE(History.since(LogIndex(7)));
  for (std::uint64_t Index = 8; Index < InstanceHistory::MaxRecords + 8;
       ++Index)
    History.record(LogIndex(Index), LogIndex(Index + 1), {recordOf(2)});
  EXPECT_FALSE(History.since(LogIndex(7)));
}

// Guards against whole registries that are sent again and again while many
// instances start: each renewal of a subscription then meets changes that are
// on their way. At 277 gateways this made up most bytes between domains.
TEST(InstanceHistoryFleetTest, SendsTheWholeRegistryOnceWhileInstancesStart) {
  constexpr std::size_t GatewayCount = 6;
  constexpr std::size_t InstanceCount = 200;
  RegistryFleet Fleet(5, GatewayCount);
  Fleet.electAndAnnounce(recordOf(0));
  Fleet.run(8s);
  const std::size_t Before = Fleet.fullUpdateCount();
  for (std::size_t Number = 1; Number < InstanceCount; ++Number) {
    Fleet.announce(Fleet.leader(), recordOf(Number));
    Fleet.run(20ms);
  }
  // A member that ends makes its gateways follow another one.
  Fleet.stopMember(Fleet.leader() == 1 ? 2 : 1);
  Fleet.run(3s);
  for (std::size_t Gateway = 0; Gateway < GatewayCount; ++Gateway)
    EXPECT_EQ(Fleet.view(Gateway).Instances_.size(), InstanceCount);
  EXPECT_EQ(Fleet.fullUpdateCount(), Before);
}

} // namespace
} // namespace jaybridge
