#include <LibHTTP/CallerListener.h>
#include <LibHTTP/RequestParser.h>
#include <LibHTTP/UpstreamClient.h>
#include <LibRuntime/BoundedRing.h>
#include <LibRuntime/SystemClock.h>
#include <Support/CaseName.h>
#include <Support/RawListener.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

HeaderDialect testDialect() {
  HeaderDialect Dialect;
  Dialect.Addressing_ = ServiceAddressing::HostAndPath;
  Dialect.CallerRequestId_ = "X-Attempt";
  Dialect.Deadline_ = "X-Left";
  Dialect.ExpectedInstance_ = "X-Meant";
  Dialect.NotRun_ = "X-Not-Run";
  Dialect.NotRunValue_ = "";
  Dialect.Signature_ = "X-Signed";
  Dialect.Load_ = "X-Load";
  Dialect.Credential_ = "X-Key";
  Dialect.Team_ = "X-Team";
  return Dialect;
}

struct DialectCase {
  const char *Name_;
  std::string Response_;
  AttemptResult Result_;
};

class HeaderDialectTest : public testing::TestWithParam<DialectCase> {};

// Guards against a response to another request or an unsigned success that
// reaches the caller, and against a not-run refusal that is treated as run.
TEST_P(HeaderDialectTest, ClassifiesTheResponse) {
  RawListener Upstream;
  BoundedRing<AttemptFinished> Finished(RingCapacity(4));
  UpstreamClientOptions Options;
  Options.Dialect_ = testDialect();
  Options.ReusesConnections_ = false;
  auto Client = UpstreamClient::create(Options, [&](AttemptFinished Ended) {
                  EXPECT_TRUE(Finished.tryPush(std::move(Ended)));
                }).takeValue();
  auto Sent = std::make_shared<Request>();
  Sent->Id_ = RequestId("inner");
  Sent->CallerId_ = RequestId("outer");
  Sent->Method_ = "GET";
  Sent->Target_ = "/a?b";
  Sent->Headers_ = {{"Host", "h.example"}};
  Sent->Team_ = TeamName("t1");
  Sent->Body_ = std::make_shared<const std::string>();
  ASSERT_TRUE(Client.start({AttemptId(1), InstanceId("i-7"), Upstream.address(),
                            Sent, monotonicNow() + 20s}));
  std::unique_ptr<RawConnection> Connection = Upstream.accept();
  ASSERT_TRUE(Connection);
  std::string Received = Connection->readUntil("\r\n\r\n");
  for (const char *Line :
       {"GET /a?b HTTP/1.1\r\n", "Host: h.example\r\n", "X-Attempt: outer\r\n",
        "X-Meant: i-7\r\n", "X-Team: t1\r\n", "X-Left: "})
    EXPECT_NE(Received.find(Line), std::string::npos) << Received;
  Connection->send(GetParam().Response_);
  Connection.reset();
  auto Ended = Finished.pop(std::chrono::steady_clock::now() + 20s);
  ASSERT_TRUE(Ended);
  EXPECT_EQ(Ended->Outcome_.Result_, GetParam().Result_);
}

std::string responseWith(const std::string &Status,
                         const std::string &Headers) {
  return "HTTP/1.1 " + Status + "\r\nContent-Length: 2\r\n" + Headers +
         "\r\nok";
}

INSTANTIATE_TEST_SUITE_P(
    Answers, HeaderDialectTest,
    testing::Values(
        DialectCase{
            "Own",
            responseWith("200 OK", "X-Attempt: outer\r\nX-Signed: s\r\n"),
            AttemptResult::Answered},
        DialectCase{
            "OfAnotherRequest",
            responseWith("200 OK", "X-Attempt: other\r\nX-Signed: s\r\n"),
            AttemptResult::ResponseTruncated},
        DialectCase{"WithoutAnId", responseWith("200 OK", "X-Signed: s\r\n"),
                    AttemptResult::ResponseTruncated},
        DialectCase{"Unsigned", responseWith("200 OK", "X-Attempt: outer\r\n"),
                    AttemptResult::ResponseTruncated},
        DialectCase{"Failure", responseWith("500 No", "X-Attempt: outer\r\n"),
                    AttemptResult::Answered},
        DialectCase{
            "NotRun",
            responseWith("503 No", "X-Attempt: outer\r\nX-Not-Run: 1\r\n"),
            AttemptResult::RefusedNotRun},
        DialectCase{"NotRunOfAnotherRequest",
                    responseWith("503 No", "X-Attempt: other\r\n"
                                           "X-Not-Run: 1\r\n"),
                    AttemptResult::ResponseTruncated},
        DialectCase{"NotRunOfTwoRequests",
                    responseWith("503 No", "X-Attempt: outer\r\n"
                                           "X-Attempt: other\r\n"
                                           "X-Not-Run: 1\r\n"),
                    AttemptResult::ResponseTruncated},
        DialectCase{"NotRunWithoutAnId",
                    responseWith("503 No", "X-Not-Run: 1\r\n"),
                    AttemptResult::RefusedNotRun},
        DialectCase{"AnotherInstance", responseWith("421 No", ""),
                    AttemptResult::RefusedNotRun},
        DialectCase{"AnotherInstanceForAnotherRequest",
                    responseWith("421 No", "X-Attempt: other\r\n"),
                    AttemptResult::ResponseTruncated},
        DialectCase{"CutShort",
                    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n"
                    "X-Attempt: outer\r\nX-Signed: s\r\n\r\nok",
                    AttemptResult::ResponseTruncated},
        DialectCase{"Nothing", "", AttemptResult::ConnectionLost}),
    CaseName());

// Guards against a target, host or caller request id that the parser changes,
// and against an expected instance that a caller can choose.
TEST(RequestParserTest, KeepsTargetHostAndCallerRequestId) {
  RawHTTPRequest Received;
  Received.Method_ = "GET";
  Received.Target_ = "/a/b?c";
  Received.Headers_ = {{"Host", "h.example:80"},
                       {"X-Attempt", "outer"},
                       {"X-Left", "1500"},
                       {"X-Meant", "spoofed"},
                       {"X-Other", "kept"}};
  auto Result = parseRequest(RequestId("inner"), std::move(Received),
                             ByteCount(100), testDialect(), TimePoint{});
  ASSERT_TRUE(std::holds_alternative<Request>(Result));
  const Request &Parsed = std::get<Request>(Result);
  EXPECT_EQ(Parsed.Target_, "/a/b?c");
  EXPECT_EQ(Parsed.Authority_, "h.example:80");
  EXPECT_TRUE(Parsed.Service_.isEmpty());
  EXPECT_EQ(Parsed.CallerId_, RequestId("outer"));
  EXPECT_EQ(Parsed.Deadline_, TimePoint{} + 1500ms);
  EXPECT_EQ(Parsed.Headers_, (std::vector<Header>{{"Host", "h.example:80"},
                                                  {"X-Other", "kept"}}));
}

struct CredentialCase {
  const char *Name_;
  std::vector<Header> Fields_;
  /// Empty if the key is missing or malformed.
  std::string Key_;
};

class CredentialTest : public testing::TestWithParam<CredentialCase> {};

// Guards against a malformed credential that is accepted, and against header
// fields with a key or team that stay among those for the upstream.
TEST_P(CredentialTest, IsTakenOutOfTheHeaders) {
  RawHTTPRequest Received;
  Received.Target_ = "/a";
  Received.Headers_ = {{"X-Other", "kept"}};
  Received.Headers_.insert(Received.Headers_.end(), GetParam().Fields_.begin(),
                           GetParam().Fields_.end());
  auto Result = parseRequest(RequestId("inner"), std::move(Received),
                             ByteCount(100), testDialect(), TimePoint{});
  ASSERT_TRUE(std::holds_alternative<Request>(Result));
  const Request &Parsed = std::get<Request>(Result);
  EXPECT_EQ(Parsed.Headers_, (std::vector<Header>{{"X-Other", "kept"}}));
  EXPECT_EQ(Parsed.IdentityHeaders_, GetParam().Fields_);
  ASSERT_EQ(Parsed.Credential_.has_value(), !GetParam().Key_.empty());
  if (Parsed.Credential_) {
    EXPECT_TRUE(Parsed.Credential_->isSameAs(Credential(GetParam().Key_)));
  }
}

INSTANTIATE_TEST_SUITE_P(
    Fields, CredentialTest,
    testing::Values(
        CredentialCase{"None", {}, ""},
        CredentialCase{"Key", {{"X-Key", "Bearer k1"}}, "k1"},
        CredentialCase{"OtherCase", {{"x-key", "bearer k1"}}, "k1"},
        CredentialCase{"MoreSpace", {{"X-Key", "Bearer   k1 "}}, "k1"},
        CredentialCase{"OtherScheme", {{"X-Key", "Basic k1"}}, ""},
        CredentialCase{"NoScheme", {{"X-Key", "k1"}}, ""},
        CredentialCase{"NoSpace", {{"X-Key", "Bearerk1"}}, ""},
        CredentialCase{"NoToken", {{"X-Key", "Bearer"}}, ""},
        CredentialCase{"OnlySpace", {{"X-Key", "Bearer  "}}, ""},
        CredentialCase{"TwoTokens", {{"X-Key", "Bearer k1 k2"}}, ""},
        CredentialCase{"Empty", {{"X-Key", ""}}, ""},
        CredentialCase{
            "GivenTwice", {{"X-Key", "Bearer k1"}, {"x-key", "Bearer k1"}}, ""},
        CredentialCase{"Team", {{"X-Team", "t2"}}, ""}),
    CaseName());

} // namespace
} // namespace jaybridge
