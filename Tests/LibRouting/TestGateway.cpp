#include <LibRouting/Gateway.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

// Guards against a first path that loses a request or answers it twice.
TEST(Gateway, AnswersADispatchedRequestOnce) {
  auto Created = Gateway::create(
      GatewaySettings{MemberId("a"), FailureDomain("d"), EventCount(10)},
      RandomSeed(1));
  ASSERT_TRUE(Created);
  Gateway Role = Created.takeValue();
  Gateway::Effects Out;
  TimePoint Now{};
  ProfileDraft Draft;
  Draft.Name_ = ProfileName("reads");
  auto Rules = Profile::create(Draft);
  ASSERT_TRUE(Rules);
  Role.handle(CatalogChanged{ConfigurationVersion(1),
                             {ServicePolicy{ServiceName("s"), Rules.value(),
                                            ConfigurationVersion(1)}}},
              Now, Out);
  Role.handle(
      InstanceChanged{InstanceRecord{
          InstanceId("i"), ServiceName("s"), Endpoint(), FailureDomain("d"),
          SlotCount(4), InstanceState::Serving, Incarnation(1)}},
      Now, Out);
  auto Received = std::make_shared<Request>();
  Received->Id_ = RequestId("r");
  Received->Service_ = ServiceName("s");
  Role.handle(RequestReceived{Received}, Now, Out);
  const SendAttempt *Sent = nullptr;
  for (const auto &Each : Out)
    if (const auto *Found = std::get_if<SendAttempt>(&Each))
      Sent = Found;
  ASSERT_NE(Sent, nullptr);
  AttemptId Attempt = Sent->Attempt_;
  Out.clear();
  AttemptOutcome Ended;
  Ended.Result_ = AttemptResult::Answered;
  Role.handle(AttemptFinished{Attempt, Ended}, Now, Out);
  Role.handle(AttemptFinished{Attempt, Ended}, Now, Out);
  int Answers = 0;
  for (const auto &Each : Out)
    Answers += std::holds_alternative<AnswerCaller>(Each) ? 1 : 0;
  EXPECT_EQ(Answers, 1);
}

} // namespace
} // namespace jaybridge
