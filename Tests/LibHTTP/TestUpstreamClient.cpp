#include "UpstreamClientFixture.h"

#include <LibHTTP/HeaderRules.h>
#include <Support/CaseName.h>
#include <Support/RawListener.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct AnswerCase {
  const char *Name_;
  /// Bytes that the upstream sends before it closes the connection.
  std::string SentBytes_;
  AttemptResult Result_;
  std::string Body_;
};

class AnswerTest : public testing::TestWithParam<AnswerCase> {};

// Guards against a truncated response that is reported as complete, and against
// a request that may have run but is reported as not run.
TEST_P(AnswerTest, EndsWithExpectedResult) {
  ClientFixture Fixture;
  RawListener Upstream;
  Fixture.send(Upstream.address(), "GET");
  auto Connection = Upstream.accept();
  ASSERT_TRUE(Connection);
  Connection->readMessage();
  Connection->send(GetParam().SentBytes_);
  Connection->close();
  AttemptOutcome Ended = Fixture.nextFinished().Outcome_;
  EXPECT_EQ(Ended.Result_, GetParam().Result_);
  if (Ended.Result_ == AttemptResult::Answered) {
    EXPECT_EQ(*Ended.Response_.Body_, GetParam().Body_);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Answers, AnswerTest,
    testing::Values(
        AnswerCase{"Whole", okResponse("text"), AttemptResult::Answered,
                   "text"},
        AnswerCase{"NothingAtAll", "", AttemptResult::ConnectionLost, ""},
        AnswerCase{"CutInStatusLine", "HTTP/1.", AttemptResult::ConnectionLost,
                   ""},
        AnswerCase{"CutInHeaders", "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\n",
                   AttemptResult::ResponseTruncated, ""},
        AnswerCase{"CutAfterInterimAnswer", "HTTP/1.1 103 Hint\r\n\r\n",
                   AttemptResult::ResponseTruncated, ""},
        AnswerCase{"CutInBody",
                   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n123456789",
                   AttemptResult::ResponseTruncated, ""},
        AnswerCase{"CutBeforeLastChunk",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "4\r\nabcd\r\n",
                   AttemptResult::ResponseTruncated, ""},
        AnswerCase{"CutInLastChunk",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "4\r\nabcd\r\n0\r\n",
                   AttemptResult::ResponseTruncated, ""},
        AnswerCase{"Chunked",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "4\r\nabcd\r\n0\r\n\r\n",
                   AttemptResult::Answered, "abcd"},
        AnswerCase{"AfterInterimAnswer",
                   "HTTP/1.1 103 Hint\r\n\r\n" + okResponse("x"),
                   AttemptResult::Answered, "x"},
        AnswerCase{"AtTheLimit", okResponse(std::string(AnswerLimit, 'l')),
                   AttemptResult::Answered, std::string(AnswerLimit, 'l')},
        AnswerCase{"AboveTheLimit",
                   okResponse(std::string(AnswerLimit + 1, 'l')),
                   AttemptResult::ResponseTooLarge, ""},
        AnswerCase{"HeadersAboveTheLimit",
                   "HTTP/1.1 200 OK\r\nX: " + std::string(70'000, 'h') +
                       "\r\n\r\n",
                   AttemptResult::ResponseTooLarge, ""},
        AnswerCase{"StatedNotRun",
                   "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
                   "jaybridge-outcome: not-run\r\n\r\n",
                   AttemptResult::RefusedNotRun, ""},
        AnswerCase{"StatedNotRunWithOtherStatus",
                   "HTTP/1.1 500 Busy\r\nContent-Length: 0\r\n"
                   "Jaybridge-Outcome: not-run\r\n\r\n",
                   AttemptResult::Answered, ""},
        AnswerCase{"UnavailableWithoutStatement",
                   "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                   AttemptResult::Answered, ""}),
    CaseName());

class MethodTest : public testing::TestWithParam<const char *> {};

// Guards against a request that runs twice. libcurl resends it on a new
// connection when a reused connection ends without a response.
TEST_P(MethodTest, IsNotResentAfterReusedConnectionCloses) {
  ClientFixture Fixture;
  RawListener Upstream;
  Fixture.send(Upstream.address(), "GET");
  auto KeptAlive = Upstream.accept();
  ASSERT_TRUE(KeptAlive);
  KeptAlive->readMessage();
  KeptAlive->send(okResponse("first"));
  EXPECT_EQ(Fixture.nextFinished().Outcome_.Result_, AttemptResult::Answered);

  Fixture.send(Upstream.address(), GetParam(), "body");
  EXPECT_TRUE(KeptAlive->readMessage().starts_with(GetParam()));
  KeptAlive->close();
  EXPECT_EQ(Fixture.nextFinished().Outcome_.Result_,
            AttemptResult::ConnectionLost);
  EXPECT_EQ(Fixture.client().counts().ResendsPrevented_, EventCount(1));
  auto NewConnection = Upstream.accept();
  ASSERT_TRUE(NewConnection);
  EXPECT_EQ(NewConnection->readUntilClosed(), "");
}

INSTANTIATE_TEST_SUITE_P(Methods, MethodTest,
                         testing::Values("GET", "POST", "PUT", "DELETE",
                                         "HEAD"),
                         [](const auto &Info) {
                           return std::string(Info.param);
                         });

struct RepeatedRefusalCase {
  const char *Name_;
  /// Header line of the refusal on a connection that carried another request.
  std::string IdLine_;
  AttemptResult Result_;
};

class RepeatedRefusalTest : public testing::TestWithParam<RepeatedRefusalCase> {
};

// Guards against an earlier refusal that the upstream writes again on a kept
// connection, in place of the response to a request that it runs.
TEST_P(RepeatedRefusalTest, IsBelievedOnlyWithTheOwnId) {
  ClientFixture Fixture;
  RawListener Upstream;
  Fixture.send(Upstream.address(), "POST");
  auto KeptAlive = Upstream.accept();
  ASSERT_TRUE(KeptAlive);
  KeptAlive->readMessage();
  KeptAlive->send(okResponse("first"));
  EXPECT_EQ(Fixture.nextFinished().Outcome_.Result_, AttemptResult::Answered);
  Fixture.send(Upstream.address(), "POST");
  KeptAlive->readMessage();
  KeptAlive->send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n" +
                  GetParam().IdLine_ + "Jaybridge-Outcome: not-run\r\n\r\n");
  EXPECT_EQ(Fixture.nextFinished().Outcome_.Result_, GetParam().Result_);
}

INSTANTIATE_TEST_SUITE_P(
    Ids, RepeatedRefusalTest,
    testing::Values(
        RepeatedRefusalCase{"Own", "Jaybridge-Request-Id: r\r\n",
                            AttemptResult::RefusedNotRun},
        RepeatedRefusalCase{"Other", "Jaybridge-Request-Id: other\r\n",
                            AttemptResult::ResponseTruncated},
        RepeatedRefusalCase{"None", "", AttemptResult::ResponseTruncated}),
    CaseName());

struct RepeatedAnswerCase {
  const char *Name_;
  std::string IdLine_;
  AttemptResult Result_;
};

class RepeatedAnswerTest : public testing::TestWithParam<RepeatedAnswerCase> {};

// Guards against a second copy of an earlier answer that the upstream writes on
// a kept connection after the next request, whose caller would get it.
TEST_P(RepeatedAnswerTest, IsNotTheAnswerToTheNextRequest) {
  ClientFixture Fixture;
  RawListener Upstream;
  Fixture.send(Upstream.address(), "GET");
  auto KeptAlive = Upstream.accept();
  ASSERT_TRUE(KeptAlive);
  KeptAlive->readMessage();
  KeptAlive->send(okResponse("first"));
  EXPECT_EQ(Fixture.nextFinished().Outcome_.Result_, AttemptResult::Answered);
  Fixture.send(Upstream.address(), "GET");
  KeptAlive->readMessage();
  KeptAlive->send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" +
                  GetParam().IdLine_ + "\r\nfirst");
  EXPECT_EQ(Fixture.nextFinished().Outcome_.Result_, GetParam().Result_);
}

INSTANTIATE_TEST_SUITE_P(
    Ids, RepeatedAnswerTest,
    testing::Values(RepeatedAnswerCase{"Own", "Jaybridge-Request-Id: r\r\n",
                                       AttemptResult::Answered},
                    RepeatedAnswerCase{"Other",
                                       "Jaybridge-Request-Id: earlier\r\n",
                                       AttemptResult::ResponseTruncated}),
    CaseName());

// Guards against requests that fail because they are sent on an idle connection
// that the upstream has closed.
TEST(UpstreamClientTest, OpensConnectionAfterUpstreamClosedIdleOne) {
  ClientFixture Fixture;
  RawListener Upstream;
  for (int Round = 0; Round < 3; ++Round) {
    Fixture.send(Upstream.address(), "POST", "body");
    auto Connection = Upstream.accept();
    ASSERT_TRUE(Connection);
    Connection->readMessage();
    Connection->send(okResponse("x"));
    EXPECT_EQ(Fixture.nextFinished().Outcome_.Result_, AttemptResult::Answered);
    Connection->close();
  }
  EXPECT_EQ(Fixture.client().counts().ResendsPrevented_, EventCount(0));
}

// Guards against requests that the client changes, and against connections that
// are not kept alive.
TEST(UpstreamClientTest, SendsRequestUnchangedOnReusedConnection) {
  ClientFixture Fixture;
  RawListener Upstream;
  const std::string Body("\0\r\n\xff binary", 11);
  Fixture.send(Upstream.address(), "PATCH", Body);
  auto Connection = Upstream.accept();
  ASSERT_TRUE(Connection);
  for (int Round = 0; Round < 3; ++Round) {
    std::string Sent = Connection->readMessage();
    EXPECT_TRUE(Sent.starts_with("PATCH /a/../b?c=%20 HTTP/1.1\r\n")) << Sent;
    EXPECT_TRUE(Sent.ends_with("\r\n\r\n" + Body)) << Sent;
    for (const char *Line :
         {"\r\nX-One: 1\r\n", "\r\nX-Empty:\r\n",
          "\r\nJaybridge-Request-Id: r\r\n", "\r\nJaybridge-Deadline-Ms: 19"})
      EXPECT_NE(Sent.find(Line), std::string::npos) << Line << Sent;
    for (const char *Added : {"Accept", "Content-Type", "Expect", "User-Agent"})
      EXPECT_EQ(Sent.find(Added), std::string::npos) << Added;
    Connection->send(okResponse("x"));
    Fixture.nextFinished();
    if (Round < 2)
      Fixture.send(Upstream.address(), "PATCH", Body);
  }
  EXPECT_EQ(Fixture.client().counts().Connections_, EventCount(1));
}

// Guards against an upstream that cannot detect the cancellation and keeps
// working on the request.
TEST(UpstreamClientTest, ClosesConnectionOfCancelledAttempt) {
  ClientFixture Fixture;
  RawListener Upstream;
  AttemptId Sent = Fixture.send(Upstream.address(), "GET");
  auto Connection = Upstream.accept();
  ASSERT_TRUE(Connection);
  Connection->readMessage();
  EXPECT_TRUE(Fixture.client().cancel(Sent));
  AttemptFinished Finished = Fixture.nextFinished();
  EXPECT_EQ(Finished.Attempt_, Sent);
  EXPECT_EQ(Finished.Outcome_.Result_, AttemptResult::Cancelled);
  EXPECT_EQ(Connection->readUntilClosed(), "");
  EXPECT_TRUE(Fixture.client().cancel(Sent));
}

struct CutCase {
  const char *Name_;
  std::string Whole_;
  std::string Body_;
  /// Bytes at the end that may be missing because they carry nothing.
  std::size_t Dispensable_ = 0;
};

class CutResponseTest : public testing::TestWithParam<CutCase> {};

// Guards against an upstream that stops anywhere in its response, within the
// head too, and closes the connection in order: what has arrived must not count
// as a response with a short or empty body.
TEST_P(CutResponseTest, IsNotAnAnswerWhereverItEnds) {
  ClientFixture Fixture;
  const std::string &Whole = GetParam().Whole_;
  for (std::size_t Length = 0; Length <= Whole.size(); ++Length) {
    RawListener Upstream;
    Fixture.send(Upstream.address(), "GET");
    auto Connection = Upstream.accept();
    ASSERT_TRUE(Connection);
    Connection->readMessage();
    Connection->send(Whole.substr(0, Length));
    Connection->close();
    const AttemptOutcome Ended = Fixture.nextFinished().Outcome_;
    const bool IsAnswered = Ended.Result_ == AttemptResult::Answered;
    EXPECT_EQ(IsAnswered, Length + GetParam().Dispensable_ >= Whole.size())
        << Length << " bytes";
    if (IsAnswered) {
      EXPECT_EQ(*Ended.Response_.Body_, GetParam().Body_);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Framings, CutResponseTest,
    testing::Values(
        CutCase{"Length",
                "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n"
                "Content-Type: a/b\r\n\r\ntwelve bytes",
                "twelve bytes"},
        CutCase{"EmptyBody",
                "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 0\r\n\r\n", ""},
        CutCase{"Chunks",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                "\r\n6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n",
                "twelve bytes", 1},
        CutCase{"AfterInterimResponse",
                "HTTP/1.1 103 Hint\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n"
                "Content-Length: 4\r\n\r\nbody",
                "body"}),
    CaseName());

struct EarlyEndCase {
  const char *Name_;
  /// Whether the upstream's port accepts connections.
  bool IsListening_;
  Duration RemainingTime_;
  AttemptResult Result_;
};

class EarlyEndTest : public testing::TestWithParam<EarlyEndCase> {};

// Guards against an attempt that starts after its deadline, and against a
// result that wrongly says whether the request may have run.
TEST_P(EarlyEndTest, EndsWithExpectedResult) {
  ClientFixture Fixture;
  RawListener Upstream;
  if (!GetParam().IsListening_)
    Upstream.close();
  Fixture.send(Upstream.address(), "POST", "body", GetParam().RemainingTime_);
  EXPECT_EQ(Fixture.nextFinished().Outcome_.Result_, GetParam().Result_);
  EXPECT_EQ(Fixture.client().counts().Started_,
            EventCount(GetParam().RemainingTime_ > 0ms ? 1 : 0));
}

INSTANTIATE_TEST_SUITE_P(
    Ends, EarlyEndTest,
    testing::Values(
        EarlyEndCase{"Refused", false, 20s, AttemptResult::ConnectFailed},
        EarlyEndCase{"DeadlinePassed", true, 0ms, AttemptResult::ConnectFailed},
        EarlyEndCase{"NoAnswerInTime", true, 100ms, AttemptResult::TimedOut}),
    CaseName());

} // namespace
} // namespace jaybridge
