#include <LibHTTP/CallerListener.h>
#include <LibHTTP/UpstreamClient.h>

#include <LibCore/Random.h>
#include <LibRuntime/BoundedRing.h>
#include <LibRuntime/SystemClock.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

#include <map>

namespace jaybridge {
namespace {

std::string bodyOf(AttemptId Id) {
  Random Source{RandomSeed(Id.value())};
  std::string Bytes(Source.below(20'000), '\0');
  for (char &Byte : Bytes)
    Byte = static_cast<char>(Source.next());
  return Bytes;
}

class ConcurrencyTest : public testing::TestWithParam<std::size_t> {};

// Guards against responses that reach the wrong caller or lose bytes when
// concurrent requests are answered in another order than they arrived in.
TEST_P(ConcurrencyTest, GivesEachCallerItsOwnAnswer) {
  const std::size_t Count = GetParam();
  BoundedRing<std::shared_ptr<const Request>> Received{RingCapacity(Count)};
  BoundedRing<AttemptFinished> Finished{RingCapacity(Count)};
  auto Listener = CallerListener::create(
                      {Endpoint::create("127.0.0.1:0").takeValue(),
                       MemberId("m"), WallTime()},
                      {[&](std::shared_ptr<const Request> Next) {
                         return Received.tryPush(std::move(Next));
                       },
                       [](const RequestId &Id) { ADD_FAILURE() << Id.text(); }})
                      .takeValue();
  auto Client =
      UpstreamClient::create({.ConnectTimeout_ = 20s},
                             [&](AttemptFinished Next) {
                               EXPECT_TRUE(Finished.tryPush(std::move(Next)));
                             })
          .takeValue();
  for (std::uint64_t Number = 1; Number <= Count; ++Number) {
    auto Sent = std::make_shared<Request>();
    Sent->Method_ = "POST";
    Sent->Target_ = "/s/" + std::to_string(Number);
    Sent->Body_ =
        std::make_shared<const std::string>(bodyOf(AttemptId(Number)));
    ASSERT_TRUE(
        Client.start({AttemptId(Number), InstanceId(), Listener.address(),
                      std::move(Sent), monotonicNow() + 60s}));
  }

  const auto Deadline = std::chrono::steady_clock::now() + 60s;
  std::vector<std::shared_ptr<const Request>> Pending;
  while (Pending.size() < Count) {
    auto Next = Received.pop(Deadline);
    ASSERT_TRUE(Next);
    Pending.push_back(std::move(*Next));
  }
  Random ShuffleRandom{RandomSeed(1)};
  for (std::size_t Remaining = Pending.size(); Remaining > 0; --Remaining) {
    std::swap(Pending[ShuffleRandom.below(Remaining)], Pending[Remaining - 1]);
    const Request &Next = *Pending[Remaining - 1];
    Listener.answer(
        Next.Id_,
        Response{StatusCode(200), {{"X-Target", Next.Target_}}, Next.Body_},
        ConfigurationVersion(1));
  }
  std::map<AttemptId, AttemptOutcome> Outcomes;
  while (Outcomes.size() < Count) {
    auto Next = Finished.pop(Deadline);
    ASSERT_TRUE(Next);
    ASSERT_EQ(Next->Outcome_.Result_, AttemptResult::Answered);
    EXPECT_TRUE(*Next->Outcome_.Response_.Body_ == bodyOf(Next->Attempt_));
    const Header Target{"X-Target",
                        "/" + std::to_string(Next->Attempt_.value())};
    const auto &Headers = Next->Outcome_.Response_.Headers_;
    EXPECT_NE(std::find(Headers.begin(), Headers.end(), Target), Headers.end());
    Outcomes.emplace(Next->Attempt_, std::move(Next->Outcome_));
  }
}

INSTANTIATE_TEST_SUITE_P(Counts, ConcurrencyTest, testing::Values(1, 50, 1000));

} // namespace
} // namespace jaybridge
