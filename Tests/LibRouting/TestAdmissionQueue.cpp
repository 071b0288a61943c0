#include <LibRouting/AdmissionQueue.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct QueueCase {
  const char *Name_;
  std::vector<std::pair<unsigned, int>> WeightsAndDeadlines_;
  std::vector<const char *> Order_;
  unsigned Newcomer_;
  const char *Displaced_;
};

class AdmissionQueueTest : public testing::TestWithParam<QueueCase> {
protected:
  AdmissionQueue make() {
    AdmissionQueue Queue{EventCount(10)};
    char Id = 'a';
    for (auto [Weight, Deadline] : GetParam().WeightsAndDeadlines_)
      Queue.push(QueuedRequest{RequestId(std::string(1, Id++)),
                               ServiceName("s"), ClassWeight(Weight),
                               TimePoint(Duration(Deadline))});
    return Queue;
  }
};

// Guards against a wrong order: lower weights first, or late before early.
TEST_P(AdmissionQueueTest, TakesWeightThenDeadlineThenArrival) {
  AdmissionQueue Queue = make();
  for (const char *Id : GetParam().Order_)
    EXPECT_EQ(Queue.pop(ServiceName("s")), RequestId(Id));
  EXPECT_EQ(Queue.pop(ServiceName("s")), std::nullopt);
}

// Guards against shedding a request that matters as much as the new one.
TEST_P(AdmissionQueueTest, DisplacesOnlyLowerWeights) {
  std::optional<RequestId> Displaced =
      make().displaceBelow(ClassWeight(GetParam().Newcomer_));
  EXPECT_EQ(Displaced ? Displaced->text() : "", GetParam().Displaced_);
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
