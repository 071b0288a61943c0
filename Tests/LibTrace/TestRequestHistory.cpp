#include <LibTrace/RequestHistory.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

RecordStep stepOf(const std::string &Id, StepKind Kind) {
  RecordStep Step;
  Step.Id_ = RequestId(Id);
  Step.Kind_ = Kind;
  return Step;
}

// Guards against memory that grows with the number of requests, and against
// an aged-out request that looks as if it had never existed.
TEST(RequestHistory, ForgetsTheOldestRequestAndSaysSo) {
  RequestHistory History;
  for (std::size_t I = 0; I <= RequestHistory::MaxRequestCount; ++I)
    History.record(stepOf(std::to_string(I), StepKind::Received), TimePoint());
  auto Oldest = History.findSteps(RequestId("0"));
  ASSERT_FALSE(Oldest);
  EXPECT_EQ(Oldest.error().Code_, ErrorCode::NotFound);
  EXPECT_NE(Oldest.error().Message_.find("aged out"), std::string::npos);
  EXPECT_TRUE(History.findSteps(RequestId("1")));
}

// Guards against a request with many retries whose outcome is lost.
TEST(RequestHistory, KeepsTheOutcomeOfARequestWithTooManySteps) {
  RequestHistory History;
  for (std::size_t I = 0; I < 2 * RequestHistory::MaxStepsPerRequest; ++I)
    History.record(stepOf("a", StepKind::Retried), TimePoint());
  History.record(stepOf("a", StepKind::Answered), TimePoint());
  auto Steps = History.findSteps(RequestId("a"));
  ASSERT_TRUE(Steps);
  EXPECT_EQ(Steps.value().size(), RequestHistory::MaxStepsPerRequest);
  EXPECT_EQ(Steps.value().back().Step_.Kind_, StepKind::Answered);
}

} // namespace
} // namespace jaybridge
