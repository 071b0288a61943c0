#include <LibHTTP/CallerListener.h>
#include <LibHTTP/RequestReader.h>
#include <LibRuntime/BoundedRing.h>

#include <Support/CaseName.h>
#include <Support/RawConnection.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

using Event = RequestReader::Event;

struct ReaderCase {
  const char *Name_;
  std::string Bytes_;
  Event Last_;
  std::string Body_;
};

class RequestReaderTest
    : public testing::TestWithParam<std::tuple<ReaderCase, std::size_t>> {};

// Guards against requests whose reading depends on how their bytes are split,
// and against extensions, trailers or heads without a bound.
TEST_P(RequestReaderTest, ReadsTheSameHoweverBytesAreSplit) {
  const auto &[Case, Size] = GetParam();
  RequestReader Reader(ByteCount(100));
  std::string_view Rest = Case.Bytes_;
  Event Last = Event::NeedsBytes;
  while (!Rest.empty() && Last != Event::RequestComplete &&
         Last != Event::Malformed) {
    const auto [Next, Consumed] = Reader.read(Rest.substr(0, Size));
    Last = Next;
    Rest.remove_prefix(std::min(Consumed, Rest.size()));
  }
  EXPECT_EQ(Last, Case.Last_) << Reader.problem();
  if (Last != Event::RequestComplete)
    return;
  std::string Target;
  RawHTTPRequest Taken = Reader.take(Target);
  EXPECT_EQ(Taken.Body_, Case.Body_);
  EXPECT_EQ(Target, "/s/x");
  EXPECT_EQ(Reader.heldBytes(), ByteCount());
}

const std::string ChunkedHead =
    "POST /s/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Requests, RequestReaderTest,
    testing::Combine(
        testing::Values(
            ReaderCase{"NoBody", "GET /s/x HTTP/1.1\r\nA: b\r\n\r\n",
                       Event::RequestComplete, ""},
            ReaderCase{"Length",
                       "POST /s/x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
                       Event::RequestComplete, "abc"},
            ReaderCase{"LengthTwice",
                       "POST /s/x HTTP/1.1\r\nContent-Length: 3\r\n"
                       "Content-Length: 4\r\n\r\nabcd",
                       Event::Malformed, ""},
            ReaderCase{"LengthAndChunks",
                       "POST /s/x HTTP/1.1\r\nContent-Length: 3\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                       Event::Malformed, ""},
            ReaderCase{"Chunks",
                       ChunkedHead +
                           "1\r\na\r\n2;x=y\r\nbc\r\n0\r\nT: u\r\n\r\n",
                       Event::RequestComplete, "abc"},
            ReaderCase{"ChunksTooLong",
                       ChunkedHead + "65\r\n" + std::string(101, 'x'),
                       Event::Malformed, ""},
            ReaderCase{"LongHead",
                       "GET /s/x HTTP/1.1\r\nA: " + std::string(33'000, 'a') +
                           "\r\n\r\n",
                       Event::Malformed, ""},
            ReaderCase{"LongTarget", "GET /" + std::string(100'000, 'a'),
                       Event::Malformed, ""}),
        testing::Values(1, 7, 16'384)));

// Guards against chunk extensions and trailers that are read without end.
TEST(RequestReaderBoundTest, BoundsExtensionsAndTrailers) {
  for (const std::string &Framing :
       {std::string("1;"), std::string("0\r\nT: ")})
    for (const bool IsTooLong : {false, true}) {
      RequestReader Reader(ByteCount(100));
      const std::size_t Length = Framing[0] == '1' ? 1000 : 4000;
      std::string_view Head = ChunkedHead;
      while (!Head.empty())
        Head.remove_prefix(Reader.read(Head).Consumed_);
      ASSERT_EQ(Reader.read(Framing).Event_, Event::NeedsBytes);
      Event Last = Event::NeedsBytes;
      for (std::size_t Sent = 0; Sent < Length + (IsTooLong ? 200 : 0);
           Sent += 100)
        Last = Reader.read(std::string(100, 'e')).Event_;
      EXPECT_EQ(Last, IsTooLong ? Event::Malformed : Event::NeedsBytes);
    }
}

struct PipelineCase {
  const char *Name_;
  std::string Sent_;
  /// Targets that are passed on before any answer.
  std::vector<std::string> PassedOn_;
  /// Whether the receiver answers marked requests with `AwaitsTurn`.
  bool AwaitsTurn_;
};

class PipelineTest : public testing::TestWithParam<PipelineCase> {};

// Guards against pipelined requests that run out of turn, get no response, or
// get the response to another one.
TEST_P(PipelineTest, AnswersInOrder) {
  BoundedRing<std::shared_ptr<const Request>> Received{RingCapacity(8)};
  auto Listener =
      CallerListener::create({Endpoint::create("127.0.0.1:0").takeValue(),
                              MemberId("m"), WallTime()},
                             {[&](std::shared_ptr<const Request> Next) {
                                return Received.tryPush(std::move(Next));
                              },
                              [](const RequestId &) {}})
          .takeValue();
  auto Next = [&](Duration Wait) {
    auto Popped = Received.pop(std::chrono::steady_clock::now() + Wait);
    return Popped ? *Popped : nullptr;
  };
  auto Answer = [&](const Request &Answered) {
    Listener.answer(
        Answered.Id_,
        Response{StatusCode(200),
                 {},
                 std::make_shared<const std::string>(Answered.Target_)},
        ConfigurationVersion(1));
  };
  RawConnection Caller(Listener.address());
  Caller.send(GetParam().Sent_);
  std::vector<std::shared_ptr<const Request>> Early;
  for (const std::string &Target : GetParam().PassedOn_) {
    Early.push_back(Next(20s));
    ASSERT_TRUE(Early.back());
    EXPECT_EQ(Early.back()->Target_, Target);
    EXPECT_EQ(Early.back()->IsPipelined_, Early.size() > 1);
  }
  EXPECT_FALSE(Next(50ms));
  for (std::size_t Index = Early.size(); Index > 0; --Index)
    if (Index > 1 && GetParam().AwaitsTurn_)
      Listener.answer(
          Early[Index - 1]->Id_,
          Refusal{Outcome::NotRun, RefusalReason::AwaitsTurn, std::nullopt, ""},
          ConfigurationVersion(1));
    else
      Answer(*Early[Index - 1]);
  EXPECT_TRUE(Caller.readMessage().ends_with("\r\n\r\n/1"));
  if (Early.size() == 1 || GetParam().AwaitsTurn_) {
    auto Later = Next(20s);
    ASSERT_TRUE(Later);
    EXPECT_FALSE(Later->IsPipelined_);
    Answer(*Later);
  }
  EXPECT_TRUE(Caller.readMessage().ends_with("\r\n\r\n/2"));
}

INSTANTIATE_TEST_SUITE_P(
    Requests, PipelineTest,
    testing::Values(
        PipelineCase{"Safe",
                     "GET /s/1 HTTP/1.1\r\n\r\nGET /s/2 HTTP/1.1\r\n\r\n",
                     {"/1", "/2"},
                     false},
        PipelineCase{"SafeMethodOfAnAction",
                     "GET /s/1 HTTP/1.1\r\n\r\nGET /s/2 HTTP/1.1\r\n\r\n",
                     {"/1", "/2"},
                     true},
        PipelineCase{"Actions",
                     "POST /s/1 HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"
                     "POST /s/2 HTTP/1.1\r\nContent-Length: 1\r\n\r\ny",
                     {"/1"},
                     false}),
    CaseName());

// Guards against callers that wait for 100 Continue, and against bodies that
// are asked for and then refused.
TEST(ContinueTest, IsSentOnlyWhenTheBodyIsAdmitted) {
  auto Listener =
      CallerListener::create(
          {Endpoint::create("127.0.0.1:0").takeValue(), MemberId("m"),
           WallTime(), ByteCount(10)},
          {[](const auto &) { return true; }, [](const RequestId &) {}})
          .takeValue();
  for (const auto &[Length, Status] :
       {std::pair("10", " 100 "), std::pair("11", " 413 ")}) {
    RawConnection Caller(Listener.address());
    Caller.send(
        "POST /s/ HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: " +
        std::string(Length) + "\r\n\r\n");
    EXPECT_NE(Caller.readUntil("\r\n\r\n").find(Status), std::string::npos);
  }
}

} // namespace
} // namespace jaybridge
