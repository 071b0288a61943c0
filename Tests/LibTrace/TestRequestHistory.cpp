#include <LibTrace/RequestHistory.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

RecordStep createStep(const std::string &Id, StepKind Kind) {
  RecordStep Step;
  Step.Id_ = RequestId(Id);
  Step.Kind_ = Kind;
  return Step;
}

// Guards against memory use that grows with the number of requests, and against
// an error for an evicted request that reads as if it had never existed.
TEST(RequestHistory, EvictsTheOldestRequestAndReportsIt) {
  RequestHistory History;
  for (std::size_t I = 0; I <= RequestHistory::MaxRequestCount; ++I)
    History.record(createStep(std::to_string(I), StepKind::Received),
                   TimePoint());
  auto Oldest = History.findSteps(RequestId("0"));
  ASSERT_FALSE(Oldest);
  EXPECT_EQ(Oldest.error().Code_, ErrorCode::NotFound);
  EXPECT_NE(Oldest.error().Message_.find("aged out"), std::string::npos);
  EXPECT_TRUE(History.findSteps(RequestId("1")));
}

// Guards against losing the outcome of a request with very many retries.
TEST(RequestHistory, KeepsTheFinalStepWhenStepsAreDropped) {
  RequestHistory History;
  for (std::size_t I = 0; I < 2 * RequestHistory::MaxStepsPerRequest; ++I)
    History.record(createStep("a", StepKind::Retried), TimePoint());
  History.record(createStep("a", StepKind::Answered), TimePoint());
  auto Steps = History.findSteps(RequestId("a"));
  ASSERT_TRUE(Steps);
  EXPECT_EQ(Steps.value().size(), RequestHistory::MaxStepsPerRequest);
  EXPECT_EQ(Steps.value().back().Step_.Kind_, StepKind::Answered);
}

} // namespace
} // namespace jaybridge
