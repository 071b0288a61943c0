#include <LibRouting/AdmissionQueue.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct QueueCase {
  const char *Name_;
  std::vector<std::pair<unsigned, int>> WeightsAndDeadlines_;
  std::vector<const char *> PopOrder_;
  unsigned NewWeight_;
  const char *Evicted_;
};

class AdmissionQueueTest : public testing::TestWithParam<QueueCase> {
protected:
  AdmissionQueue makeQueue() {
    AdmissionQueue Queue{EventCount(10)};
    char Id = 'a';
    for (auto [Weight, Deadline] : GetParam().WeightsAndDeadlines_)
      Queue.push(QueuedRequest{RequestId(std::string(1, Id++)),
                               ServiceName("s"), ClassWeight(Weight),
                               TimePoint(Duration(Deadline))});
    return Queue;
  }
};

// Guards against a wrong dispatch order: lower weights, later deadlines or
// later arrivals first.
TEST_P(AdmissionQueueTest, PopsByWeightThenDeadlineThenArrival) {
  AdmissionQueue Queue = makeQueue();
  for (const char *Id : GetParam().PopOrder_)
    EXPECT_EQ(Queue.pop(ServiceName("s")), RequestId(Id));
  EXPECT_EQ(Queue.pop(ServiceName("s")), std::nullopt);
}

// Guards against evicting a request with the same weight as the new one.
TEST_P(AdmissionQueueTest, EvictsOnlyLowerWeights) {
  std::optional<RequestId> Evicted =
      makeQueue().evictBelow(ClassWeight(GetParam().NewWeight_));
  EXPECT_EQ(Evicted ? Evicted->text() : "", GetParam().Evicted_);
}

INSTANTIATE_TEST_SUITE_P(
    Orders, AdmissionQueueTest,
    testing::Values(
        QueueCase{"Empty", {}, {}, 9, ""},
        QueueCase{"Arrival", {{1, 5}, {1, 5}}, {"a", "b"}, 1, ""},
        QueueCase{"Deadline", {{1, 9}, {1, 5}}, {"b", "a"}, 2, "a"},
        QueueCase{"Weight", {{1, 1}, {3, 9}, {2, 5}}, {"b", "c", "a"}, 2, "a"},
        QueueCase{"LowestNewcomer", {{2, 1}, {3, 9}}, {"b", "a"}, 2, ""}),
    CaseName());

} // namespace
} // namespace jaybridge
