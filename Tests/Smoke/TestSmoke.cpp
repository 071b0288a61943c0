#include <Support/LoadClient.h>
#include <Support/ProcessFleet.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

constexpr const char *Domains[] = {"shah-alam", "petaling-jaya", "klang-utara"};

std::string number(std::size_t Value) { return std::to_string(Value); }

/// A fleet of processes in three failure domains: three control members, three
/// other gateways, and seven instances of a service with a repeatable profile.
class SmokeTest : public testing::Test {
protected:
  void SetUp() override {
    Fleet_.setControlMembers({"c0", "c1", "c2"});
    for (std::size_t I = 0; I < 6; ++I) {
      std::string Id = (I < 3 ? "c" : "g") + number(I % 3);
      ASSERT_TRUE(Fleet_.startDaemon(
          {Id, Domains[I % 3],
           "127.1." + number(I % 3 + 1) + "." + number(I + 1), I < 3}))
          << Id;
    }
    for (std::size_t I = 0; I < 7; ++I)
      Fleet_.startUpstream({"status-" + number(I),
                            "status-giliran",
                            Domains[I % 3],
                            "127.1." + number(I % 3 + 1) + "." + number(I + 20),
                            {"--waiting=500"}});
    ASSERT_TRUE(ProcessFleet::waitUntil([&] {
      return Fleet_
                 .runTool({"profile", "create", "status", "--repeatable",
                           "--patience_ms=20000", "--request_id=create-status"})
                 .first == 0;
    })) << Fleet_.runTool({"profile", "list"}).second;
    ASSERT_EQ(Fleet_
                  .runTool({"service", "assign", "status-giliran",
                            "--profile=status", "--request_id=assign-status"})
                  .first,
              0);
    for (std::size_t I = 0; I < 6; ++I)
      ASSERT_TRUE(isServing((I < 3 ? "c" : "g") + number(I % 3)));
  }

  bool isServing(const std::string &Id) {
    LoadRequest Probe;
    Probe.Target_ = Fleet_.addressesOf(Id).Callers_;
    Probe.Path_ = "/status-giliran/ready";
    return ProcessFleet::waitUntil(
        [&] { return runLoad({Probe}, {})[0].Status_ == 200; });
  }

  ProcessFleet Fleet_;
};

/// Checks that the response is the fake upstream's echo of this request.
void expectEchoOf(const LoadRequest &Request, const LoadResponse &Response) {
  std::string FirstLine =
      Request.Method_ +
      " /check?n=" + Request.Path_.substr(Request.Path_.find('=') + 1) + "\n";
  EXPECT_EQ(Response.Body_.substr(0, FirstLine.size()), FirstLine);
  EXPECT_EQ(Response.Body_.substr(Response.Body_.find("\n\n") + 2),
            Request.Body_);
  std::string Id = headerValue(Response, "Jaybridge-Request-Id");
  EXPECT_NE(Response.Body_.find("Jaybridge-Request-Id: " + Id + "\n"),
            std::string::npos);
}

// Guards against responses that reach the wrong caller or are truncated, and
// against requests that are lost while one gateway drains and another is
// killed.
TEST_F(SmokeTest, AnswersEachOfAThousandRequestsWhileGatewaysEnd) {
  constexpr std::size_t Count = 1000;
  constexpr std::size_t GatewayCount = 6;
  std::vector<LoadRequest> Requests;
  for (std::size_t I = 0; I < Count; ++I) {
    LoadRequest Request;
    std::size_t Gateway = I % GatewayCount;
    Request.Target_ =
        Fleet_.addressesOf((Gateway < 3 ? "c" : "g") + number(Gateway % 3))
            .Callers_;
    Request.Method_ = "POST";
    Request.Path_ = "/status-giliran/check?n=" + number(I);
    Request.Body_ = "body of " + number(I) + std::string(I % 97, 'x');
    Requests.push_back(std::move(Request));
  }
  bool HasSignaled = false;
  std::vector<LoadResponse> Responses =
      runLoad(Requests, [&](Duration Elapsed) {
        if (HasSignaled || Elapsed < 100ms)
          return;
        HasSignaled = true;
        Fleet_.daemon("g0").send(SIGKILL);
        Fleet_.daemon("g1").send(SIGTERM);
      });
  std::size_t SuccessCount = 0;
  for (std::size_t I = 0; I < Count; ++I) {
    bool IsKilledGateway = I % GatewayCount == 3;
    bool IsDrainingGateway = I % GatewayCount == 4;
    if (Responses[I].Status_ == 200) {
      expectEchoOf(Requests[I], Responses[I]);
      ++SuccessCount;
    } else if (IsDrainingGateway) {
      // Either the connection was refused, or the response states not-run.
      EXPECT_TRUE(Responses[I].Status_ == 0 ||
                  Responses[I].Body_.find("\"not-run\"") != std::string::npos)
          << Responses[I].Body_;
    } else {
      EXPECT_TRUE(IsKilledGateway)
          << I << ": " << Responses[I].Status_ << " " << Responses[I].Body_;
    }
  }
  EXPECT_GE(SuccessCount, Count * 2 / 3);
  EXPECT_EQ(Fleet_.daemon("g1").wait(), 0);
}

// Guards against an update that resets fields which the operator did not give:
// a change of the floor once turned a repeatable profile into an at-most-once
// one.
TEST_F(SmokeTest, UpdatesOnlyTheGivenFields) {
  auto [Code, Output] =
      Fleet_.runTool({"profile", "update", "status", "--floor_percent=80"});
  ASSERT_EQ(Code, 0) << Output;
  std::string Shown =
      Fleet_.runTool({"--json", "profile", "show", "status"}).second;
  EXPECT_NE(Shown.find("\"floor_percent\": 80"), std::string::npos) << Shown;
  EXPECT_NE(Shown.find("\"repeatable\": true"), std::string::npos) << Shown;
  EXPECT_NE(Shown.find("\"patience_ms\": 20000"), std::string::npos) << Shown;
}

} // namespace
} // namespace jaybridge
