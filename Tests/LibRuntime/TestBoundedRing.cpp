#include <LibRuntime/BoundedRing.h>

#include <gtest/gtest.h>

#include <memory>
#include <thread>

namespace jaybridge {
namespace {

class BoundedRingTest : public testing::TestWithParam<std::size_t> {};

// Guards against a full ring that drops an item although the producer still
// needs it to report the refusal.
TEST_P(BoundedRingTest, RefusesAnItemWhenFullWithoutTakingIt) {
  BoundedRing<std::unique_ptr<int>> Ring{RingCapacity(GetParam())};
  for (std::size_t I = 0; I < GetParam(); ++I)
    ASSERT_TRUE(Ring.tryPush(std::make_unique<int>(static_cast<int>(I))));
  auto Extra = std::make_unique<int>(-1);
  EXPECT_FALSE(Ring.tryPush(Extra));
  ASSERT_TRUE(Extra);
  for (std::size_t I = 0; I < GetParam(); ++I)
    EXPECT_EQ(**Ring.pop(std::nullopt), static_cast<int>(I));
}

// Guards against the loss of items that were accepted before close().
TEST_P(BoundedRingTest, ReturnsAcceptedItemsAfterClose) {
  BoundedRing<int> Ring{RingCapacity(GetParam())};
  ASSERT_TRUE(Ring.tryPush(7));
  Ring.close();
  EXPECT_FALSE(Ring.tryPush(8));
  EXPECT_EQ(Ring.pop(std::nullopt), 7);
  EXPECT_EQ(Ring.pop(std::nullopt), std::nullopt);
  EXPECT_TRUE(Ring.isClosedAndEmpty());
}

// Guards against a producer that blocks forever when the ring is closed while
// it waits for space.
TEST_P(BoundedRingTest, WakesWaitingProducerOnClose) {
  BoundedRing<int> Ring{RingCapacity(GetParam())};
  for (std::size_t I = 0; I < GetParam(); ++I)
    ASSERT_TRUE(Ring.tryPush(0));
  std::thread Producer([&] { EXPECT_FALSE(Ring.push(1)); });
  Ring.close();
  Producer.join();
}

INSTANTIATE_TEST_SUITE_P(Capacities, BoundedRingTest,
                         testing::Values(1, 2, 64));

// Guards against items of less urgency that fill the ring and hold up others.
TEST(BoundedRingTest, RefusesItemsBeyondTheirLimit) {
  BoundedRing<int> Ring(RingCapacity(3));
  int Item = 1;
  EXPECT_TRUE(Ring.tryPush(Item, RingCapacity(2)));
  EXPECT_TRUE(Ring.tryPush(Item, RingCapacity(2)));
  EXPECT_FALSE(Ring.tryPush(Item, RingCapacity(2)));
  EXPECT_TRUE(Ring.tryPush(Item));
  EXPECT_FALSE(Ring.tryPush(Item, RingCapacity(9)));
}

} // namespace
} // namespace jaybridge
