#include "DutyFleet.h"

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

/// Time that a request takes at a sound instance.
constexpr Duration ServiceTime = 20ms;

InstanceReply answerSoundly(const InstanceRequest &Received) {
  std::this_thread::sleep_for(ServiceTime);
  return WriteBytes{signedResponse(Received, "sound")};
}

/// Counts what instances did, from their own threads.
template <typename Key> class Tally {
public:
  /// Adds one and returns the new count.
  std::size_t add(const Key &Counted) {
    std::lock_guard Lock(Mutex_);
    return ++Counts_[Counted];
  }
  std::size_t of(const Key &Counted) const {
    std::lock_guard Lock(Mutex_);
    auto Found = Counts_.find(Counted);
    return Found == Counts_.end() ? 0 : Found->second;
  }
  std::size_t countAbove(std::size_t Limit) const {
    std::lock_guard Lock(Mutex_);
    std::size_t Above = 0;
    for (const auto &[Counted, Count] : Counts_)
      Above += Count > Limit ? 1 : 0;
    return Above;
  }

private:
  mutable std::mutex Mutex_;
  std::map<Key, std::size_t> Counts_;
};

/// Refusals that state that the request ends the instances that run it.
bool isQuarantined(const LoadResponse &Response) {
  return Response.Status_ == 503 &&
         Response.Body_.find("crashes-upstreams") != std::string::npos;
}

struct CrashingCase {
  const char *Name_;
  const char *Method_;
  const char *Path_;
};

class CrashingRequestTest : public testing::TestWithParam<CrashingCase> {};

// Guards against a request that ends each instance which runs it, comes again
// at all gateways, and takes one instance after the other out of service.
TEST_P(CrashingRequestTest, StopsAfterAFewInstances) {
  constexpr std::size_t GatewayCount = 6;
  constexpr std::size_t Sends = 20;
  constexpr Duration Pause = 300ms;
  // A fleet may need this time to agree on the request.
  constexpr Duration AgreementTime = 3s;
  constexpr std::size_t MaxLaterRuns = 3;
  std::mutex Mutex;
  std::vector<std::chrono::steady_clock::time_point> Ends;
  DutyFleet Fleet(GatewayCount);
  ASSERT_TRUE(Fleet.start());
  Fleet.addInstances(12, [&](const InstanceRequest &Received) -> InstanceReply {
    if (Received.Target_.find("crash") == std::string::npos)
      return answerSoundly(Received);
    std::lock_guard Lock(Mutex);
    Ends.push_back(std::chrono::steady_clock::now());
    return EndInstance{};
  });
  ASSERT_TRUE(Fleet.waitUntilServing("/safe/ready"));
  std::size_t Served = 0;
  unsigned LastStatus = 0;
  for (std::size_t Send = 0; Send < Sends; ++Send) {
    const std::size_t Gateway = Send % GatewayCount;
    LastStatus =
        Fleet.send(Gateway, GetParam().Method_, GetParam().Path_).Status_;
    if (Fleet.send(Gateway, "GET", "/safe/of-another").Status_ == 200)
      ++Served;
    std::this_thread::sleep_for(Pause);
  }
  std::lock_guard Lock(Mutex);
  std::size_t LaterRuns = 0;
  for (std::size_t Run = 3; Run < Ends.size(); ++Run)
    if (Ends[Run] > Ends[2] + AgreementTime)
      ++LaterRuns;
  EXPECT_LE(LaterRuns, MaxLaterRuns) << Ends.size() << " instances ended";
  EXPECT_LE(Ends.size(), Sends / 2);
  EXPECT_EQ(LastStatus, 503U);
  EXPECT_GE(Served, Sends - 1) << "requests of others";
  RecordProperty("ended", static_cast<int>(Ends.size()));
  RecordProperty("ended-after-agreement", static_cast<int>(LaterRuns));
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, CrashingRequestTest,
    testing::Values(CrashingCase{"Safe", "GET", "/safe/crash"},
                    CrashingCase{"Unsafe", "POST", "/unsafe/crash"}),
    CaseName());

// Guards against proper requests that are taken for crashing ones because many
// instances fail at the same time, again and again, while they run.
TEST(ProperRequestTest, IsNotQuarantinedWhenManyInstancesEnd) {
  constexpr std::size_t GatewayCount = 6;
  constexpr std::size_t InstanceCount = 12;
  constexpr std::size_t Rounds = 6;
  constexpr std::size_t RequestsPerRound = 60;
  DutyFleet Fleet(GatewayCount);
  ASSERT_TRUE(Fleet.start());
  Fleet.addInstances(InstanceCount, answerSoundly);
  ASSERT_TRUE(Fleet.waitUntilServing("/safe/popular"));
  std::size_t Quarantined = 0;
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    std::vector<LoadRequest> Requests;
    for (std::size_t Index = 0; Index < RequestsPerRound; ++Index) {
      // Every other request is the same for all callers, and the others come
      // again in each round, as callers repeat what failed.
      const std::string Path = Index % 2 == 0
                                   ? "/safe/popular"
                                   : "/safe/own-" + std::to_string(Index);
      Requests.push_back(Fleet.request(Index % GatewayCount, "GET", Path));
      Requests.back().SendOffset_ = static_cast<int>(Index) * 4ms;
    }
    bool HasEnded = false;
    for (const LoadResponse &Response :
         runLoad(Requests, [&](Duration Elapsed) {
           if (HasEnded || Elapsed < 100ms)
             return;
           HasEnded = true;
           for (std::size_t Index = 0; Index < InstanceCount * 3 / 4; ++Index)
             Fleet.instance((Index + Round) % InstanceCount).end();
         }))
      Quarantined += isQuarantined(Response) ? 1 : 0;
    std::this_thread::sleep_for(2 * StandInInstance::RestartDelay);
  }
  EXPECT_EQ(Quarantined, 0U);
  ASSERT_TRUE(Fleet.waitUntilServing("/safe/popular"));
  ASSERT_TRUE(Fleet.waitUntilServing("/safe/own-1"));
}

// Guards against an action that runs twice because an instance that ran it
// answers with an earlier refusal, which names the request it belongs to.
TEST(MisattributedRefusalTest, DoesNotRunAnActionTwice) {
  constexpr std::size_t GatewayCount = 6;
  constexpr std::size_t Actions = 120;
  Tally<std::string> Runs;
  DutyFleet Fleet(GatewayCount);
  ASSERT_TRUE(Fleet.start());
  std::atomic<unsigned> Received = 0;
  Fleet.addInstances(6, [&](const InstanceRequest &Request) -> InstanceReply {
    Runs.add(Request.RequestId_);
    if (Request.Method_ == "POST" && ++Received % 10 == 0)
      return WriteBytes{"HTTP/1.1 503 Busy\r\nRequest-Id: an-earlier-one\r\n"
                        "Not-Executed: full\r\nContent-Length: 0\r\n\r\n"};
    return answerSoundly(Request);
  });
  ASSERT_TRUE(Fleet.waitUntilServing("/safe/ready"));
  std::vector<LoadRequest> Requests;
  for (std::size_t Index = 0; Index < Actions; ++Index) {
    Requests.push_back(Fleet.request(Index % GatewayCount, "POST",
                                     "/unsafe/" + std::to_string(Index)));
    Requests.back().SendOffset_ = static_cast<int>(Index) * 10ms;
  }
  std::vector<LoadResponse> Responses = runLoad(Requests, {});
  EXPECT_EQ(Runs.countAbove(1), 0U) << "actions that ran more than once";
  std::size_t FalselyRefused = 0;
  for (std::size_t Index = 0; Index < Actions; ++Index) {
    const std::string &Id = Requests[Index].Headers_[1];
    if (Responses[Index].Status_ == 503 &&
        Runs.of(Id.substr(Id.find(' ') + 1)) > 0)
      ++FalselyRefused;
  }
  EXPECT_EQ(FalselyRefused, 0U) << "actions that ran and were refused";
}

struct MalformedCase {
  const char *Name_;
  /// The head without the fields that the platform prescribes.
  const char *StatusLine_;
  const char *Fields_;
};

class MalformedResponseTest : public testing::TestWithParam<MalformedCase> {};

// Guards against a malformed response that reaches a caller, and against a
// repeatable request that is not sent to another instance after one.
TEST_P(MalformedResponseTest, IsRetriedOrRefusedButNeverForwarded) {
  constexpr std::size_t Pairs = 60;
  DutyFleet Fleet(1);
  ASSERT_TRUE(Fleet.start());
  std::atomic<unsigned> Received = 0;
  Fleet.addInstances(6, [&](const InstanceRequest &Request) -> InstanceReply {
    if (Request.Target_.find("/ready") != std::string::npos ||
        ++Received % 10 != 0)
      return answerSoundly(Request);
    return WriteBytes{std::string(GetParam().StatusLine_) +
                      "\r\nRequest-Id: " + Request.RequestId_ +
                      "\r\nResponse-Signature: signed\r\n" +
                      GetParam().Fields_ + "\r\nx"};
  });
  ASSERT_TRUE(Fleet.waitUntilServing("/safe/ready"));
  std::vector<LoadRequest> Requests;
  for (std::size_t Index = 0; Index < Pairs; ++Index)
    for (bool IsSafe : {true, false}) {
      Requests.push_back(Fleet.request(0, IsSafe ? "GET" : "POST",
                                       (IsSafe ? "/safe/" : "/unsafe/") +
                                           std::to_string(Index)));
      Requests.back().SendOffset_ = static_cast<int>(Index) * 20ms;
    }
  std::size_t RefusedSafe = 0;
  std::size_t RefusedUnsafe = 0;
  std::vector<LoadResponse> Responses = runLoad(Requests, {});
  for (std::size_t Index = 0; Index < Responses.size(); ++Index) {
    if (Responses[Index].Status_ == 200) {
      EXPECT_EQ(Responses[Index].Body_, "sound");
      continue;
    }
    EXPECT_EQ(Responses[Index].Status_, 502U);
    ++(Requests[Index].Method_ == "GET" ? RefusedSafe : RefusedUnsafe);
  }
  EXPECT_GT(RefusedUnsafe, 0U) << "no action met a malformed response";
  // The gateway has one retry at a time; control members replace it.
  EXPECT_LE(RefusedSafe, Pairs / 20);
}

INSTANTIATE_TEST_SUITE_P(
    Heads, MalformedResponseTest,
    testing::Values(MalformedCase{"Status000", "HTTP/1.1 000 None",
                                  "Content-Length: 1\r\n"},
                    MalformedCase{"Status600", "HTTP/1.1 600 High",
                                  "Content-Length: 1\r\n"},
                    MalformedCase{"SignedLength", "HTTP/1.1 200 OK",
                                  "Content-Length: +1\r\n"},
                    MalformedCase{"OtherEncoding", "HTTP/1.1 200 OK",
                                  "Transfer-Encoding: identity\r\n"}),
    CaseName());

/// Memory that a gateway may use on the smallest VMs.
constexpr ByteCount GatewayMemory(160UL * 1000 * 1000);

struct EndlessCase {
  const char *Name_;
  WriteEndlessly Reply_;
};

class EndlessResponseTest : public testing::TestWithParam<EndlessCase> {};

// Guards against instances that send bytes without end, in the head or in the
// body of a response, and take the gateway's memory.
TEST_P(EndlessResponseTest, LeavesTheGatewayInItsMemory) {
  constexpr std::size_t EndlessRequests = 24;
  DutyFleet Fleet(1);
  ASSERT_TRUE(Fleet.start());
  Fleet.addInstances(12, [&](const InstanceRequest &Received) -> InstanceReply {
    if (Received.Target_.find("endless") == std::string::npos)
      return answerSoundly(Received);
    WriteEndlessly Reply = GetParam().Reply_;
    const std::string Placeholder = "{id}";
    if (auto Found = Reply.Head_.find(Placeholder); Found != std::string::npos)
      Reply.Head_.replace(Found, Placeholder.size(), Received.RequestId_);
    return Reply;
  });
  ASSERT_TRUE(Fleet.waitUntilServing("/safe/ready"));
  std::vector<LoadRequest> Requests;
  for (std::size_t Index = 0; Index < EndlessRequests; ++Index) {
    Requests.push_back(
        Fleet.request(0, "GET", "/long/endless-" + std::to_string(Index)));
    Requests.push_back(Fleet.request(0, "GET", "/safe/of-another"));
    Requests.back().SendOffset_ = static_cast<int>(Index) * 20ms;
  }
  std::sort(Requests.begin(), Requests.end(),
            [](const LoadRequest &Left, const LoadRequest &Right) {
              return Left.SendOffset_ < Right.SendOffset_;
            });
  std::vector<LoadResponse> Responses = runLoad(Requests, {});
  std::size_t Served = 0;
  for (std::size_t Index = 0; Index < Requests.size(); ++Index) {
    if (Requests[Index].Path_ == "/safe/of-another")
      Served += Responses[Index].Status_ == 200 ? 1 : 0;
    else
      EXPECT_GE(Responses[Index].Status_, 500U) << "a cut body as complete";
  }
  EXPECT_GE(Served, EndlessRequests / 2) << "requests of others";
  EXPECT_EQ(Fleet.endedProcesses(), 0U);
  EXPECT_LT(DutyFleet::peakMemoryOf(Fleet.gateway(0)), GatewayMemory)
      << DutyFleet::peakMemoryOf(Fleet.gateway(0)).value() / 1000000 << " MB";
  EXPECT_TRUE(Fleet.waitUntilServing("/safe/ready"));
}

const std::string SignedHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: signed\r\n";
const std::string Kilobytes(64UL * 1024, 'x');

INSTANTIATE_TEST_SUITE_P(
    Parts, EndlessResponseTest,
    testing::Values(
        EndlessCase{"BodyUntilClose", {SignedHead + "\r\n", Kilobytes}},
        EndlessCase{
            "BodyLongerThanStated",
            {SignedHead + "Content-Length: 4000000000\r\n\r\n", Kilobytes}},
        EndlessCase{"ChunkedBody",
                    {SignedHead + "Transfer-Encoding: chunked\r\n\r\n",
                     "10000\r\n" + Kilobytes + "\r\n"}},
        EndlessCase{
            "ChunkExtension",
            {SignedHead + "Transfer-Encoding: chunked\r\n\r\n5;x=", Kilobytes}},
        EndlessCase{"ChunkTrailers",
                    {SignedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                     "X-More: more\r\n"}},
        EndlessCase{"HeaderLines", {SignedHead, "X-More: more\r\n"}},
        EndlessCase{"EmptyLines", {"", "\r\n"}},
        EndlessCase{"HeaderLine", {SignedHead + "X-Long: ", Kilobytes}},
        EndlessCase{"InterimResponses", {"", "HTTP/1.1 103 Hint\r\n\r\n"}},
        EndlessCase{"NoResponse", {"", Kilobytes}}),
    CaseName());

} // namespace
} // namespace jaybridge
