#include <Support/LoadClient.h>
#include <Support/ProcessFleet.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

constexpr const char *Domains[] = {"shah-alam", "petaling-jaya", "klang-utara"};

std::string number(std::size_t Value) { return std::to_string(Value); }

/// Three control members and three further gateways in three failure domains,
/// and seven instances of a repeatable service.
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

/// The echo of a fake upstream belongs to exactly this request.
void expectOwnAnswer(const LoadRequest &Asked, const LoadResponse &Answer) {
  std::string FirstLine = Asked.Method_ + " /check?n=" +
                          Asked.Path_.substr(Asked.Path_.find('=') + 1) + "\n";
  EXPECT_EQ(Answer.Body_.substr(0, FirstLine.size()), FirstLine);
  EXPECT_EQ(Answer.Body_.substr(Answer.Body_.find("\n\n") + 2), Asked.Body_);
  std::string Id = headerValue(Answer, "Jaybridge-Request-Id");
  EXPECT_NE(Answer.Body_.find("Jaybridge-Request-Id: " + Id + "\n"),
            std::string::npos);
}

// Guards against answers that reach the wrong caller, are cut short, or are
// lost when a gateway drains, while another one is killed.
TEST_F(SmokeTest, AnswersEachOfAThousandRequestsWhileGatewaysEnd) {
  constexpr std::size_t Count = 1000;
  constexpr std::size_t GatewayCount = 6;
  std::vector<LoadRequest> Requests;
  for (std::size_t I = 0; I < Count; ++I) {
    LoadRequest Each;
    std::size_t Gateway = I % GatewayCount;
    Each.Target_ =
        Fleet_.addressesOf((Gateway < 3 ? "c" : "g") + number(Gateway % 3))
            .Callers_;
    Each.Method_ = "POST";
    Each.Path_ = "/status-giliran/check?n=" + number(I);
    Each.Body_ = "body of " + number(I) + std::string(I % 97, 'x');
    Requests.push_back(std::move(Each));
  }
  bool IsDisturbed = false;
  std::vector<LoadResponse> Answers = runLoad(Requests, [&](Duration Elapsed) {
    if (IsDisturbed || Elapsed < 100ms)
      return;
    IsDisturbed = true;
    Fleet_.daemon("g0").send(SIGKILL);
    Fleet_.daemon("g1").send(SIGTERM);
  });
  std::size_t Whole = 0;
  for (std::size_t I = 0; I < Count; ++I) {
    bool MayBeLost = I % GatewayCount == 3;
    bool MayBeRefused = I % GatewayCount == 4;
    if (Answers[I].Status_ == 200) {
      expectOwnAnswer(Requests[I], Answers[I]);
      ++Whole;
    } else if (MayBeRefused) {
      // Its connection was refused, or the refusal says that it did not run.
      EXPECT_TRUE(Answers[I].Status_ == 0 ||
                  Answers[I].Body_.find("\"not-run\"") != std::string::npos)
          << Answers[I].Body_;
    } else {
      EXPECT_TRUE(MayBeLost)
          << I << ": " << Answers[I].Status_ << " " << Answers[I].Body_;
    }
  }
  EXPECT_GE(Whole, Count * 2 / 3);
  EXPECT_EQ(Fleet_.daemon("g1").wait(), 0);
}

// Guards against an update that resets what the operator did not name: a change
// of the floor once made a repeatable profile run at most once.
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
