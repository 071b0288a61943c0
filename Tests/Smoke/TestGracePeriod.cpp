#include <Support/CaseName.h>
#include <Support/LoadClient.h>
#include <Support/ProcessFleet.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct GracePeriodCase {
  const char *Name_;
  const char *Flag_;
};

class GracePeriodTest : public testing::TestWithParam<GracePeriodCase> {};

// Guards against a daemon that outlasts its grace period and is then killed.
TEST_P(GracePeriodTest, AnswersARequestInProgressAndEnds) {
  ProcessFleet Fleet;
  Fleet.setControlMembers({"c0"});
  ASSERT_TRUE(Fleet.startDaemon(
      {"c0", "shah-alam", "127.1.1.1", true, {GetParam().Flag_}}));
  Fleet.startUpstream({"order-0", "order", "shah-alam", "127.1.1.20", {}});
  ASSERT_TRUE(ProcessFleet::waitUntil([&] {
    return Fleet
               .runTool({"profile", "create", "patient", "--repeatable",
                         "--patience_ms=200000", "--request_id=create"})
               .first == 0;
  }));
  ASSERT_EQ(Fleet
                .runTool({"service", "assign", "order", "--profile=patient",
                          "--request_id=assign"})
                .first,
            0);
  LoadRequest Action;
  Action.Target_ = Fleet.addressesOf("c0").Callers_;
  Action.Path_ = "/order/answered";
  ASSERT_TRUE(ProcessFleet::waitUntil(
      [&] { return runLoad({Action}, {})[0].Status_ == 200; }));
  LoadRequest Faults;
  Faults.Target_ = Fleet.upstreamAddress("order-0").takeValue();
  Faults.Method_ = "POST";
  Faults.Path_ = "/_fake/faults";
  Faults.Body_ = R"({"hang":1})";
  ASSERT_EQ(runLoad({Faults}, {})[0].Status_, 204U);
  LoadRequest Executed = Faults;
  Executed.Method_ = "GET";
  Executed.Path_ = "/_fake/log";
  Executed.Body_.clear();
  Action.Path_ = "/order/in-progress";
  bool HasSignaled = false;
  const std::vector<LoadResponse> Responses = runLoad({Action}, [&](Duration) {
    if (HasSignaled || runLoad({Executed}, {})[0].Body_.find("in-progress") ==
                           std::string::npos)
      return;
    HasSignaled = true;
    Fleet.daemon("c0").send(SIGTERM);
  });
  ASSERT_TRUE(HasSignaled);
  ASSERT_TRUE(
      ProcessFleet::waitUntil([&] { return Fleet.daemon("c0").hasEnded(); }));
  EXPECT_EQ(Fleet.daemon("c0").wait(), 0);
  EXPECT_EQ(Responses[0].Status_, 504U);
}

INSTANTIATE_TEST_SUITE_P(
    Flags, GracePeriodTest,
    testing::Values(GracePeriodCase{"Seconds", "--grace-s=1.5"},
                    GracePeriodCase{"Milliseconds", "--grace-ms=1500"}),
    CaseName());

} // namespace
} // namespace jaybridge
