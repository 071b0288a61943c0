#include "UpstreamClientFixture.h"

#include <Support/CaseName.h>
#include <Support/RawListener.h>

namespace jaybridge {
namespace {

constexpr AttemptResult Answered = AttemptResult::Answered;

struct HeadCase {
  const char *Name_;
  /// What follows "HTTP/1.1 " in the status line; a whole status line if it
  /// starts with "HTTP/".
  std::string StatusLine_;
  std::string Fields_;
  std::string SentBody_;
  AttemptResult Result_ = AttemptResult::ResponseTruncated;
  std::string Body_{};
  const char *Method_ = "GET";
};

class HeadTest : public testing::TestWithParam<HeadCase> {};

// Guards against a malformed response that reaches the caller, and against a
// well-formed one that is discarded.
TEST_P(HeadTest, IsForwardedOnlyWhenWellFormed) {
  const HeadCase &Case = GetParam();
  ClientFixture Fixture;
  RawListener Upstream;
  Fixture.send(Upstream.address(), Case.Method_);
  auto Connection = Upstream.accept();
  ASSERT_TRUE(Connection);
  Connection->readMessage();
  const std::string Prefix =
      Case.StatusLine_.starts_with("HTTP/") ? "" : "HTTP/1.1 ";
  Connection->send(Prefix + Case.StatusLine_ + "\r\n" + Case.Fields_ + "\r\n" +
                   Case.SentBody_);
  Connection->close();
  AttemptOutcome Ended = Fixture.nextFinished().Outcome_;
  EXPECT_EQ(Ended.Result_, Case.Result_);
  EXPECT_EQ(Fixture.client().counts().Malformed_,
            EventCount(Case.Result_ == Answered ? 0 : 1));
  if (Ended.Result_ == AttemptResult::Answered) {
    EXPECT_EQ(*Ended.Response_.Body_, Case.Body_);
  }
}

const std::string LengthOne = "Content-Length: 1\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n";
const std::string OneChunk = "1\r\nx\r\n0\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    MalformedStatusLines, HeadTest,
    testing::Values(HeadCase{"Status000", "000 None", LengthOne, "x"},
                    HeadCase{"Status099", "099 Low", LengthOne, "x"},
                    HeadCase{"Status600", "600 High", LengthOne, "x"},
                    HeadCase{"Status999", "999 High", LengthOne, "x"},
                    HeadCase{"Status0200", "0200 OK", LengthOne, "x"},
                    HeadCase{"Status2x0", "2x0 OK", LengthOne, "x"},
                    HeadCase{"Status1000", "1000 Long", LengthOne, "x"},
                    HeadCase{"SignedStatus", "+200 OK", LengthOne, "x"},
                    HeadCase{"SpaceBeforeStatus", " 200 OK", LengthOne, "x"},
                    HeadCase{"Version20", "HTTP/2.0 200 OK", LengthOne, "x"},
                    HeadCase{"Version110", "HTTP/1.10 200 OK", LengthOne, "x"},
                    HeadCase{"SwitchingProtocols", "101 Switching", LengthOne,
                             "x"},
                    HeadCase{"InterimStatusOfNoUse", "103 Hint", "",
                             "HTTP/1.1 600 High\r\n" + LengthOne + "\r\nx"}),
    CaseName());

INSTANTIATE_TEST_SUITE_P(
    MalformedFraming, HeadTest,
    testing::Values(
        HeadCase{"TwoLengths", "200 OK", LengthOne + "Content-Length: 2\r\n",
                 "xy"},
        HeadCase{"LongerLengthFirst", "200 OK",
                 "Content-Length: 2\r\n" + LengthOne, "xy"},
        HeadCase{"PlusBeforeLength", "200 OK", "Content-Length: +1\r\n", "x"},
        HeadCase{"MinusBeforeLength", "200 OK", "Content-Length: -1\r\n", "x"},
        HeadCase{"SpaceInLength", "200 OK", "Content-Length: 1 0\r\n", "x"},
        HeadCase{"LetterInLength", "200 OK", "Content-Length: 1a\r\n", "x"},
        HeadCase{"EmptyLength", "200 OK", "Content-Length:\r\n", "x"},
        HeadCase{"SpaceBeforeColon", "200 OK", "Content-Length : 1\r\n", "xy"},
        HeadCase{"FoldedLength", "200 OK", "Content-Length: 1\r\n 0\r\n", "x"},
        HeadCase{"OtherEncoding", "200 OK",
                 "Transfer-Encoding: identity\r\n" + LengthOne, "x"},
        HeadCase{"Gzip", "200 OK", "Transfer-Encoding: gzip\r\n", "x"},
        HeadCase{"GzipThenChunked", "200 OK",
                 "Transfer-Encoding: gzip, chunked\r\n", OneChunk},
        HeadCase{"ChunkedTwice", "200 OK", Chunked + Chunked, OneChunk},
        HeadCase{"ChunkedWithLength", "200 OK", Chunked + LengthOne, OneChunk},
        HeadCase{"LengthWithChunked", "200 OK", LengthOne + Chunked, OneChunk}),
    CaseName());

INSTANTIATE_TEST_SUITE_P(
    WellFormed, HeadTest,
    testing::Values(
        HeadCase{"Version10", "HTTP/1.0 200 OK", LengthOne, "x", Answered, "x"},
        HeadCase{"NoReason", "200", LengthOne, "x", Answered, "x"},
        HeadCase{"Highest", "599 High", LengthOne, "x", Answered, "x"},
        HeadCase{"AfterInterimHeads", "100 Continue", "",
                 "HTTP/1.1 103 Hint\r\nLink: a\r\n\r\n" + okResponse("x"),
                 Answered, "x"},
        HeadCase{"SameLengthTwice", "200 OK", LengthOne + LengthOne, "x",
                 Answered, "x"},
        HeadCase{"SpaceAroundLength", "200 OK", "Content-Length:  1 \r\n", "x",
                 Answered, "x"},
        HeadCase{"ChunkedInCapitals", "200 OK",
                 "TRANSFER-ENCODING: Chunked\r\n", OneChunk, Answered, "x"},
        HeadCase{"UntilClose", "200 OK", "", "xyz", Answered, "xyz"},
        HeadCase{"TrailerLikeStatusLine", "200 OK", Chunked,
                 "1\r\nx\r\n0\r\nHTTP/1.1 600: High\r\n\r\n", Answered, "x"},
        HeadCase{"Head", "200 OK", LengthOne, "", Answered, "", "HEAD"},
        HeadCase{"BytesAfterHead", "200 OK", LengthOne, "x", Answered, "",
                 "HEAD"},
        HeadCase{"BytesAfterNoContent", "204 None", LengthOne, "x", Answered,
                 ""},
        HeadCase{"BytesAfterNotModified", "304 Same", LengthOne, "x", Answered,
                 ""}),
    CaseName());

} // namespace
} // namespace jaybridge
