#include <LibHTTP/CallerListener.h>

#include <LibRuntime/BoundedRing.h>
#include <LibRuntime/SystemClock.h>
#include <Support/CaseName.h>
#include <Support/RawConnection.h>

#include <gtest/gtest.h>

#include <thread>

namespace jaybridge {
namespace {

constexpr ByteCount BodyLimit(100);

/// A listener whose requests and departures are put into rings.
class ListenerFixture {
public:
  ListenerFixture()
      : Listener_(CallerListener::create(
                      {Endpoint::create("127.0.0.1:0").takeValue(),
                       MemberId("m1"), WallTime(), BodyLimit},
                      {[this](std::shared_ptr<const Request> Received) {
                         return Requests_.tryPush(std::move(Received));
                       },
                       [this](RequestId Id) {
                         EXPECT_TRUE(Gone_.tryPush(std::move(Id)));
                       }})
                      .takeValue()) {}

  std::shared_ptr<const Request> nextRequest() {
    auto Next = Requests_.pop(std::chrono::steady_clock::now() + 20s);
    return Next ? *Next : nullptr;
  }
  std::optional<RequestId> nextGone() {
    return Gone_.pop(std::chrono::steady_clock::now() + 20s);
  }
  void answer(const Request &Received, std::string Text) {
    Listener_.answer(
        Received.Id_,
        Response{StatusCode(200),
                 {{"X-Kept", "1"}, {"Keep-Alive", "timeout=1"}},
                 std::make_shared<const std::string>(std::move(Text))},
        ConfigurationVersion(7));
  }
  CallerListener &listener() { return Listener_; }

private:
  BoundedRing<std::shared_ptr<const Request>> Requests_{RingCapacity(2)};
  BoundedRing<RequestId> Gone_{RingCapacity(8)};
  CallerListener Listener_;
};

struct RefusalCase {
  const char *Name_;
  std::string Sent_;
  const char *Status_;
  const char *Reason_;
};

class RefusalTest : public testing::TestWithParam<RefusalCase> {};

// Guards against malformed or oversized requests that reach the gateway or
// are dropped without a problem document.
TEST_P(RefusalTest, AnswersWithAProblemDocument) {
  ListenerFixture Fixture;
  RawConnection Caller(Fixture.listener().address());
  Caller.send(GetParam().Sent_);
  std::string Answered = Caller.readMessage();
  EXPECT_NE(Answered.find(GetParam().Status_), std::string::npos) << Answered;
  EXPECT_NE(Answered.find(GetParam().Reason_), std::string::npos) << Answered;
  EXPECT_NE(Answered.find("\"outcome\":\"not-run\""), std::string::npos);
  EXPECT_NE(Answered.find("application/problem+json"), std::string::npos);
  EXPECT_NE(Answered.find("Jaybridge-Request-Id: m1-0-1"), std::string::npos);
  EXPECT_EQ(Fixture.listener().counts().Refused_, EventCount(1));
}

INSTANTIATE_TEST_SUITE_P(
    Requests, RefusalTest,
    testing::Values(
        RefusalCase{"NoService", "GET / HTTP/1.1\r\n\r\n", " 404 ",
                    "unknown-service"},
        RefusalCase{"AbsoluteTarget", "GET http://a/b HTTP/1.1\r\n\r\n",
                    " 400 ", "bad-request"},
        RefusalCase{"DeadlineNotANumber",
                    "GET /s/ HTTP/1.1\r\nJaybridge-Deadline-Ms: 5s\r\n\r\n",
                    " 400 ", "bad-request"},
        RefusalCase{"TwoKeys",
                    "GET /s/ HTTP/1.1\r\nIdempotency-Key: a\r\n"
                    "idempotency-key: b\r\n\r\n",
                    " 400 ", "bad-request"},
        RefusalCase{"Upgrade",
                    "GET /s/ HTTP/1.1\r\nConnection: Upgrade\r\n"
                    "Upgrade: websocket\r\n\r\n",
                    " 400 ", "bad-request"},
        RefusalCase{"BodyOneByteTooLong",
                    "POST /s/ HTTP/1.1\r\nContent-Length: 101\r\n\r\n" +
                        std::string(101, 'x'),
                    " 413 ", "body-too-large"},
        RefusalCase{"ChunkedBodyTooLong",
                    "POST /s/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "65\r\n" +
                        std::string(101, 'x') + "\r\n0\r\n\r\n",
                    " 413 ", "body-too-large"}),
    CaseName());

// Guards against requests that lose parts on the way in and answers that lose
// parts on the way out.
TEST(CallerListenerTest, PassesRequestAndAnswerOnWhole) {
  ListenerFixture Fixture;
  RawConnection Caller(Fixture.listener().address());
  const TimePoint Before = monotonicNow();
  Caller.send("POST /tickets/a/b?c=/d HTTP/1.1\r\nHost: x\r\n"
              "Jaybridge-Deadline-Ms: 5000\r\nIdempotency-Key: k\r\n"
              "Connection: keep-alive, X-Drop\r\nX-Drop: 1\r\nX-Keep: 2\r\n"
              "Content-Length: 100\r\n\r\n" +
              std::string(100, 'y'));
  auto Received = Fixture.nextRequest();
  ASSERT_TRUE(Received);
  EXPECT_EQ(Received->Service_, ServiceName("tickets"));
  EXPECT_EQ(Received->Method_, "POST");
  EXPECT_EQ(Received->Target_, "/a/b?c=/d");
  EXPECT_EQ(*Received->Body_, std::string(100, 'y'));
  EXPECT_EQ(Received->Key_, IdempotencyKeyText("k"));
  ASSERT_TRUE(Received->Deadline_);
  EXPECT_GE(*Received->Deadline_, Before + 5s);
  EXPECT_EQ(Received->Headers_,
            (std::vector<Header>{{"Idempotency-Key", "k"}, {"X-Keep", "2"}}));
  Fixture.answer(*Received, "done");
  std::string Answered = Caller.readMessage();
  EXPECT_TRUE(Answered.starts_with("HTTP/1.1 200 OK\r\n")) << Answered;
  EXPECT_NE(Answered.find("X-Kept: 1\r\n"), std::string::npos);
  EXPECT_EQ(Answered.find("timeout=1"), std::string::npos);
  EXPECT_NE(Answered.find("Jaybridge-Configuration-Version: 7\r\n"),
            std::string::npos);
  EXPECT_TRUE(Answered.ends_with("\r\n\r\ndone"));
}

// Guards against a full ring that drops a request without an answer.
TEST(CallerListenerTest, RefusesWhenTheRingIsFull) {
  ListenerFixture Fixture;
  RawConnection First(Fixture.listener().address());
  RawConnection Second(Fixture.listener().address());
  RawConnection Third(Fixture.listener().address());
  First.send("GET /s/1 HTTP/1.1\r\n\r\n");
  Second.send("GET /s/2 HTTP/1.1\r\n\r\n");
  while (Fixture.listener().counts().Received_ < EventCount(2))
    std::this_thread::sleep_for(1ms);
  Third.send("GET /s/3 HTTP/1.1\r\n\r\n");
  std::string Answered = Third.readMessage();
  EXPECT_NE(Answered.find(" 503 "), std::string::npos);
  EXPECT_NE(Answered.find("Retry-After: 1\r\n"), std::string::npos);
  EXPECT_NE(Answered.find("\"reason\":\"overloaded\""), std::string::npos);
  EXPECT_NE(Answered.find("\"retry_after_ms\":1000"), std::string::npos);
}

// Guards against attempts that go on after their caller closed early, and
// against a late answer that reaches somebody else.
TEST(CallerListenerTest, ReportsThatTheCallerClosedBeforeItsAnswer) {
  ListenerFixture Fixture;
  auto Leaving = std::make_unique<RawConnection>(Fixture.listener().address());
  Leaving->send("GET /s/1 HTTP/1.1\r\n\r\n");
  auto Received = Fixture.nextRequest();
  ASSERT_TRUE(Received);
  Leaving.reset();
  EXPECT_EQ(Fixture.nextGone(), Received->Id_);
  Fixture.answer(*Received, "late");
  RawConnection Other(Fixture.listener().address());
  Other.send("GET /s/2 HTTP/1.1\r\n\r\n");
  Fixture.answer(*Fixture.nextRequest(), "own");
  EXPECT_TRUE(Other.readMessage().ends_with("\r\n\r\nown"));
  EXPECT_EQ(Fixture.listener().counts().UndeliveredAnswers_, EventCount(1));
}

// Guards against a HEAD answer with a body, which would shift all later
// answers of the connection.
TEST(CallerListenerTest, KeepsAConnectionInStepAfterHead) {
  ListenerFixture Fixture;
  RawConnection Caller(Fixture.listener().address());
  Caller.send("HEAD /s/ HTTP/1.1\r\n\r\n");
  Fixture.answer(*Fixture.nextRequest(), "ignored");
  EXPECT_TRUE(Caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
  Caller.send("GET /s/ HTTP/1.1\r\n\r\n");
  Fixture.answer(*Fixture.nextRequest(), "second");
  std::string Second = Caller.readMessage();
  EXPECT_TRUE(Second.starts_with("HTTP/1.1 200")) << Second;
  EXPECT_TRUE(Second.ends_with("second")) << Second;
}

// Guards against a shutdown that cuts off an answer in progress.
TEST(CallerListenerTest, FinishesOpenRequestsWhileStopping) {
  ListenerFixture Fixture;
  RawConnection Caller(Fixture.listener().address());
  Caller.send("GET /s/ HTTP/1.1\r\n\r\n");
  auto Received = Fixture.nextRequest();
  ASSERT_TRUE(Received);
  Fixture.listener().stopAccepting();
  EXPECT_FALSE(Fixture.listener().waitUntilAnswered(1ms));
  const std::string Long(5'000'000, 'z');
  Fixture.answer(*Received, Long);
  std::string Answered;
  std::thread Reading([&] { Answered = Caller.readUntilClosed(); });
  EXPECT_TRUE(Fixture.listener().waitUntilAnswered(20s));
  Fixture.listener().stop();
  Reading.join();
  EXPECT_NE(Answered.find("Connection: close\r\n"), std::string::npos);
  EXPECT_TRUE(Answered.ends_with("\r\n\r\n" + Long));
  EXPECT_FALSE(RawConnection(Fixture.listener().address()).isOpen());
}

// Guards against a daemon that starts without its port.
TEST(CallerListenerTest, ReportsAPortThatIsInUse) {
  ListenerFixture Fixture;
  auto Second = CallerListener::create(
      {Fixture.listener().address(), MemberId("m2"), WallTime(), BodyLimit},
      {});
  ASSERT_FALSE(Second);
  EXPECT_EQ(Second.error().Code_, ErrorCode::Unavailable);
}

} // namespace
} // namespace jaybridge
