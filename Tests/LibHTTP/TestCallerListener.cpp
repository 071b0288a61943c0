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

/// A listener that stores received requests and disconnects in rings.
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
                         EXPECT_TRUE(Disconnected_.tryPush(std::move(Id)));
                       }})
                      .takeValue()) {}

  std::shared_ptr<const Request> nextRequest() {
    auto Next = Requests_.pop(std::chrono::steady_clock::now() + 20s);
    return Next ? *Next : nullptr;
  }
  std::optional<RequestId> nextDisconnected() {
    return Disconnected_.pop(std::chrono::steady_clock::now() + 20s);
  }
  void answer(const Request &Received, std::string Body) {
    Listener_.answer(
        Received.Id_,
        Response{StatusCode(200),
                 {{"X-Kept", "1"}, {"Keep-Alive", "timeout=1"}},
                 std::make_shared<const std::string>(std::move(Body))},
        ConfigurationVersion(7));
  }
  CallerListener &listener() { return Listener_; }

private:
  BoundedRing<std::shared_ptr<const Request>> Requests_{RingCapacity(2)};
  BoundedRing<RequestId> Disconnected_{RingCapacity(8)};
  CallerListener Listener_;
};

struct RefusalCase {
  const char *Name_;
  std::string SentBytes_;
  const char *ExpectedStatus_;
  const char *ExpectedReason_;
};

class RefusalTest : public testing::TestWithParam<RefusalCase> {};

// Guards against malformed or oversized requests that reach the gateway, or
// that are refused without a problem document.
TEST_P(RefusalTest, RespondsWithProblemDocument) {
  ListenerFixture Fixture;
  RawConnection Caller(Fixture.listener().address());
  Caller.send(GetParam().SentBytes_);
  std::string ReceivedBytes = Caller.readMessage();
  EXPECT_NE(ReceivedBytes.find(GetParam().ExpectedStatus_), std::string::npos)
      << ReceivedBytes;
  EXPECT_NE(ReceivedBytes.find(GetParam().ExpectedReason_), std::string::npos)
      << ReceivedBytes;
  EXPECT_NE(ReceivedBytes.find("\"outcome\":\"not-run\""), std::string::npos);
  EXPECT_NE(ReceivedBytes.find("application/problem+json"), std::string::npos);
  EXPECT_NE(ReceivedBytes.find("Jaybridge-Request-Id: m1-0-1"),
            std::string::npos);
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

// Guards against parts of a request or answer that get lost in the listener,
// and against hop-by-hop headers that are forwarded.
TEST(CallerListenerTest, ForwardsCompleteRequestAndAnswer) {
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
  std::string ReceivedBytes = Caller.readMessage();
  EXPECT_TRUE(ReceivedBytes.starts_with("HTTP/1.1 200 OK\r\n"))
      << ReceivedBytes;
  EXPECT_NE(ReceivedBytes.find("X-Kept: 1\r\n"), std::string::npos);
  EXPECT_EQ(ReceivedBytes.find("timeout=1"), std::string::npos);
  EXPECT_NE(ReceivedBytes.find("Jaybridge-Configuration-Version: 7\r\n"),
            std::string::npos);
  EXPECT_TRUE(ReceivedBytes.ends_with("\r\n\r\ndone"));
}

// Guards against a request that gets no response when the ring is full.
TEST(CallerListenerTest, RefusesWhenTheRingIsFull) {
  ListenerFixture Fixture;
  RawConnection FirstCaller(Fixture.listener().address());
  RawConnection SecondCaller(Fixture.listener().address());
  RawConnection ThirdCaller(Fixture.listener().address());
  FirstCaller.send("GET /s/1 HTTP/1.1\r\n\r\n");
  SecondCaller.send("GET /s/2 HTTP/1.1\r\n\r\n");
  while (Fixture.listener().counts().Received_ < EventCount(2))
    std::this_thread::sleep_for(1ms);
  ThirdCaller.send("GET /s/3 HTTP/1.1\r\n\r\n");
  std::string ReceivedBytes = ThirdCaller.readMessage();
  EXPECT_NE(ReceivedBytes.find(" 503 "), std::string::npos);
  EXPECT_NE(ReceivedBytes.find("Retry-After: 1\r\n"), std::string::npos);
  EXPECT_NE(ReceivedBytes.find("\"reason\":\"overloaded\""), std::string::npos);
  EXPECT_NE(ReceivedBytes.find("\"retry_after_ms\":1000"), std::string::npos);
}

// Guards against attempts that continue after their caller closed its
// connection, and against a late answer that reaches another caller.
TEST(CallerListenerTest, ReportsCallerThatDisconnectsBeforeItsAnswer) {
  ListenerFixture Fixture;
  auto ClosingCaller =
      std::make_unique<RawConnection>(Fixture.listener().address());
  ClosingCaller->send("GET /s/1 HTTP/1.1\r\n\r\n");
  auto Received = Fixture.nextRequest();
  ASSERT_TRUE(Received);
  ClosingCaller.reset();
  EXPECT_EQ(Fixture.nextDisconnected(), Received->Id_);
  Fixture.answer(*Received, "late");
  RawConnection OtherCaller(Fixture.listener().address());
  OtherCaller.send("GET /s/2 HTTP/1.1\r\n\r\n");
  Fixture.answer(*Fixture.nextRequest(), "own");
  EXPECT_TRUE(OtherCaller.readMessage().ends_with("\r\n\r\nown"));
  EXPECT_EQ(Fixture.listener().counts().UndeliveredAnswers_, EventCount(1));
}

// Guards against a response to HEAD with a body. The caller would parse the
// body as the start of the next response on the connection.
TEST(CallerListenerTest, OmitsBodyOfHeadResponse) {
  ListenerFixture Fixture;
  RawConnection Caller(Fixture.listener().address());
  Caller.send("HEAD /s/ HTTP/1.1\r\n\r\n");
  Fixture.answer(*Fixture.nextRequest(), "ignored");
  EXPECT_TRUE(Caller.readUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
  Caller.send("GET /s/ HTTP/1.1\r\n\r\n");
  Fixture.answer(*Fixture.nextRequest(), "second");
  std::string SecondResponse = Caller.readMessage();
  EXPECT_TRUE(SecondResponse.starts_with("HTTP/1.1 200")) << SecondResponse;
  EXPECT_TRUE(SecondResponse.ends_with("second")) << SecondResponse;
}

// Guards against a shutdown that truncates a response in progress.
TEST(CallerListenerTest, FinishesPendingRequestsWhileStopping) {
  ListenerFixture Fixture;
  RawConnection Caller(Fixture.listener().address());
  Caller.send("GET /s/ HTTP/1.1\r\n\r\n");
  auto Received = Fixture.nextRequest();
  ASSERT_TRUE(Received);
  Fixture.listener().stopAccepting();
  EXPECT_FALSE(Fixture.listener().waitUntilAnswered(1ms));
  const std::string LongBody(5'000'000, 'z');
  Fixture.answer(*Received, LongBody);
  std::string ReceivedBytes;
  std::thread ReaderThread([&] { ReceivedBytes = Caller.readUntilClosed(); });
  EXPECT_TRUE(Fixture.listener().waitUntilAnswered(20s));
  Fixture.listener().stop();
  ReaderThread.join();
  EXPECT_NE(ReceivedBytes.find("Connection: close\r\n"), std::string::npos);
  EXPECT_TRUE(ReceivedBytes.ends_with("\r\n\r\n" + LongBody));
  EXPECT_FALSE(RawConnection(Fixture.listener().address()).isOpen());
}

// Guards against a daemon that starts although its port is taken.
TEST(CallerListenerTest, ReportsPortInUse) {
  ListenerFixture Fixture;
  auto SecondListener = CallerListener::create(
      {Fixture.listener().address(), MemberId("m2"), WallTime(), BodyLimit},
      {});
  ASSERT_FALSE(SecondListener);
  EXPECT_EQ(SecondListener.error().Code_, ErrorCode::Unavailable);
}

} // namespace
} // namespace jaybridge
