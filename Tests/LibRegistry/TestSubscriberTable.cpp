#include <LibRegistry/SubscriberTable.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

// Load pattern: a gateway behind a slow link misses an update and asks again
// with each announcement. Guards against whole registries that pile up on the
// link until departures and versions arrive too late: teranga-roulements-grown
// trouble-1, seed 182049160906, broke two rules so.
TEST(SubscriberTableTest, SendsTheWholeRegistryOnceInAWhile) {
  SubscriberTable Table;
  const MemberId Id("10.9.0.1:7000");
  TimePoint Now{1h};
  ASSERT_TRUE(Table.renew(Id, LogIndex(), Now));
  EXPECT_TRUE(Table.takeWholeTurn(Id, Now));
  for (int Repeat = 0; Repeat < 3; ++Repeat) {
    Now += 400ms;
    ASSERT_TRUE(Table.renew(Id, LogIndex(), Now));
    EXPECT_FALSE(Table.takeWholeTurn(Id, Now));
  }
  Now += 400ms;
  EXPECT_TRUE(Table.takeWholeTurn(Id, Now));
}

// Guards against gateways that went away and are still sent updates.
TEST(SubscriberTableTest, ForgetsThoseThatDoNotRenew) {
  SubscriberTable Table;
  TimePoint Now{1h};
  ASSERT_TRUE(Table.renew(MemberId("10.9.0.1:7000"), LogIndex(), Now));
  Table.expire(Now + SubscriberTable::Lifetime);
  EXPECT_FALSE(Table.isEmpty());
  Table.expire(Now + SubscriberTable::Lifetime + 1ms);
  EXPECT_TRUE(Table.isEmpty());
}

} // namespace
} // namespace jaybridge
