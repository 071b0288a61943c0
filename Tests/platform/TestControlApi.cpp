#include <Platform/ControlApi.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct ApiCase {
  const char *Name_;
  ControlReplyBody Body_;
  StatusCode Status_;
  /// Part of the body or of the Location header.
  const char *Part_;
};

class ControlApiTest : public testing::TestWithParam<ApiCase> {
protected:
  ControlResponse call(const std::string &Method, const std::string &Path,
                       const std::string &Body) {
    ControlResponse Given{StatusCode(0), "", ""};
    for (const ControlRoute &Route : Api_.routes())
      if (Route.Method_ == Method && Path.starts_with(Route.Path_))
        Route.Handler_(
            ControlRequest{Method, Path, "", {}, Body},
            [&](ControlResponse Response) { Given = std::move(Response); });
    return Given;
  }
  std::vector<ControlEvent> Asked_;
  platform::ControlApi Api_{[this](ControlEvent Event) {
    Asked_.push_back(std::move(Event));
    auto Query = std::visit(
        [](const auto &Each) -> ControlRequestId {
          if constexpr (requires { Each.RequestId_; })
            return Each.RequestId_;
          return {};
        },
        Asked_.back());
    Api_.answer(ControlRequestAnswered{Query, Answer_});
    return true;
  }};
  ControlReplyBody Answer_ = Acknowledged{};
};

// Guards against a decision of the control member that reaches the platform as
// another one.
TEST_P(ControlApiTest, WritesTheDecision) {
  Api_.setPort(Port(8544));
  Answer_ = GetParam().Body_;
  ControlResponse Given = call("GET", "/jaybridge/config", "");
  EXPECT_EQ(Given.Status_, GetParam().Status_);
  std::string Text = Given.Body_;
  for (const Header &Each : Given.Headers_)
    Text += Each.Name_ + ": " + Each.Value_;
  EXPECT_NE(Text.find(GetParam().Part_), std::string::npos) << Text;
}

INSTANTIATE_TEST_SUITE_P(
    Answers, ControlApiTest,
    testing::Values(ApiCase{"Document",
                            StoredDocument{ConfigurationVersion(3), "{x}"},
                            StatusCode(200), "{x}"},
                    ApiCase{"Unavailable", NotAvailable{"no leader"},
                            StatusCode(503), "no leader"},
                    ApiCase{"Leader",
                            RedirectToLeader{MemberId("10.0.0.2:7540")},
                            StatusCode(307),
                            "Location: http://10.0.0.2:8544/jaybridge/config"},
                    ApiCase{"Nearby", Acknowledged{MemberId("10.0.0.3:7540")},
                            StatusCode(200), "10.0.0.3:8544"}),
    CaseName());

using ControlCallsTest = ControlApiTest;

// Guards against a call that is passed on as another one or in spite of errors.
TEST_F(ControlCallsTest, PassOnWhatIsValid) {
  EXPECT_EQ(call("PUT", "/jaybridge/instances/i-1", "junk").Status_,
            StatusCode(400));
  EXPECT_EQ(call("PUT", "/jaybridge/config", "{").Status_, StatusCode(400));
  EXPECT_TRUE(Asked_.empty());
  call("DELETE", "/jaybridge/instances/i-1", R"({"born":17})");
  ASSERT_EQ(Asked_.size(), 1U);
  const auto &Left = std::get<DeregisterRequest>(Asked_[0]);
  EXPECT_EQ(Left.Id_, InstanceId("i-1"));
  EXPECT_EQ(Left.Version_, Incarnation(17));
  call("PUT", "/jaybridge/config",
       R"({"Version":5,"Routes":{},"Services":{}})");
  ASSERT_EQ(Asked_.size(), 2U);
  EXPECT_EQ(std::get<DocumentWriteRequest>(Asked_[1]).Document_.Version_,
            ConfigurationVersion(5));
}

} // namespace
} // namespace jaybridge
