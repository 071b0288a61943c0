#include "DutyFleet.h"

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct ExplainCase {
  const char *Query_;
  unsigned Status_;
  /// Expected part of the body.
  const char *Part_;
};

// Guards against a gateway that sends the request which it only explains, or
// whose explanation does not come from its own state.
TEST(ExplainTest, ShowsTheRouteWithoutSendingTheRequest) {
  std::atomic<unsigned> Received = 0;
  DutyFleet Fleet(1);
  ASSERT_TRUE(Fleet.start());
  Fleet.addInstances(2, [&](const InstanceRequest &Request) -> InstanceReply {
    Received += Request.Target_.find("explained") == std::string::npos ? 0 : 1;
    return WriteBytes{signedResponse(Request, "sound")};
  });
  ASSERT_TRUE(Fleet.waitUntilServing("/safe/ready"));
  for (const ExplainCase &Case :
       {ExplainCase{"host=h.example&path=%2Fsafe%2Fexplained&method=GET", 200,
                    "\"admission\":\"admitted\""},
        ExplainCase{"host=h.example&path=/unsafe/explained&method=POST&team=a",
                    200, "\"candidate\":true"},
        ExplainCase{"host=other.example&path=/explained&method=GET", 200,
                    "\"refused\":\"unknown-service\""},
        ExplainCase{"host=h.example&method=GET", 422, "\"field\":\"path\""},
        ExplainCase{"host=h.example&path=%2&method=GET", 422,
                    "\"field\":\"path\""}}) {
    const LoadResponse Explained = Fleet.explain(0, Case.Query_);
    EXPECT_EQ(Explained.Status_, Case.Status_) << Case.Query_;
    EXPECT_NE(Explained.Body_.find(Case.Part_), std::string::npos)
        << Case.Query_ << ": " << Explained.Body_;
  }
  EXPECT_EQ(Received, 0U);
}

} // namespace
} // namespace jaybridge
