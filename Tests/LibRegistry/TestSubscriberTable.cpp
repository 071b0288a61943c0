#include <LibRegistry/SubscriberTable.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

// Load pattern: a gateway behind a slow link misses an update and requests it
// again with each heartbeat. Guards against full updates that queue up on the
// link and delay later removals and versions. This violated two rules in
// teranga-roulements-grown trouble-1, seed 182049160906.
TEST(SubscriberTableTest, LimitsTheRateOfFullUpdates) {
  SubscriberTable Table;
  const MemberId Id("10.9.0.1:7000");
  TimePoint Now{1h};
  ASSERT_TRUE(Table.renew(Id, LogIndex(), Now));
  EXPECT_TRUE(Table.tryStartFullUpdate(Id, Now));
  for (int Repeat = 0; Repeat < 3; ++Repeat) {
    Now += 400ms;
    ASSERT_TRUE(Table.renew(Id, LogIndex(), Now));
    EXPECT_FALSE(Table.tryStartFullUpdate(Id, Now));
  }
  Now += 400ms;
  EXPECT_TRUE(Table.tryStartFullUpdate(Id, Now));
}

// Guards against sending updates to gateways that are gone.
TEST(SubscriberTableTest, RemovesSubscribersThatDoNotRenew) {
  SubscriberTable Table;
  TimePoint Now{1h};
  ASSERT_TRUE(Table.renew(MemberId("10.9.0.1:7000"), LogIndex(), Now));
  Table.expire(Now + SubscriberTable::SubscriptionTimeout);
  EXPECT_FALSE(Table.isEmpty());
  Table.expire(Now + SubscriberTable::SubscriptionTimeout + 1ms);
  EXPECT_TRUE(Table.isEmpty());
}

} // namespace
} // namespace jaybridge
