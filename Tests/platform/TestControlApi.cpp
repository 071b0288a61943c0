#include <Platform/ControlApi.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct AnswerCase {
  const char *Name_;
  ControlReplyBody Body_;
  StatusCode Status_;
  /// Expected substring of the body or of the Location header.
  const char *ExpectedText_;
};

class ControlApiTest : public testing::TestWithParam<AnswerCase> {
protected:
  ControlResponse call(const std::string &Method, const std::string &Path,
                       const std::string &Body) {
    ControlResponse Received{StatusCode(0), "", ""};
    for (const ControlRoute &Route : Api_.routes())
      if (Route.Method_ == Method && Path.starts_with(Route.Path_))
        Route.Handler_(
            ControlRequest{Method, Path, "", {}, Body},
            [&](ControlResponse Response) { Received = std::move(Response); });
    return Received;
  }
  std::vector<ControlEvent> Events_;
  platform::ControlApi Api_{[this](ControlEvent Event) {
    Events_.push_back(std::move(Event));
    auto Id = std::visit(
        [](const auto &Sent) -> ControlRequestId {
          if constexpr (requires { Sent.RequestId_; })
            return Sent.RequestId_;
          return {};
        },
        Events_.back());
    Api_.answer(ControlRequestAnswered{Id, Answer_});
    return true;
  }};
  ControlReplyBody Answer_ = Acknowledged{};
};

// Guards against an answer of the control member that reaches the platform as
// another status, body or location.
TEST_P(ControlApiTest, WritesTheAnswer) {
  Api_.setPort(Port(8544));
  Answer_ = GetParam().Body_;
  ControlResponse Response = call("GET", "/jaybridge/config", "");
  EXPECT_EQ(Response.Status_, GetParam().Status_);
  std::string Text = Response.Body_;
  for (const Header &Field : Response.Headers_)
    Text += Field.Name_ + ": " + Field.Value_;
  EXPECT_NE(Text.find(GetParam().ExpectedText_), std::string::npos) << Text;
}

INSTANTIATE_TEST_SUITE_P(
    Answers, ControlApiTest,
    testing::Values(
        AnswerCase{"Document", StoredDocument{ConfigurationVersion(3), "{x}"},
                   StatusCode(200), "{x}"},
        AnswerCase{"Unavailable", NotAvailable{"no leader"}, StatusCode(503),
                   "no leader"},
        AnswerCase{"Leader", RedirectToLeader{MemberId("10.0.0.2:7540")},
                   StatusCode(307),
                   "Location: http://10.0.0.2:8544/jaybridge/config"},
        AnswerCase{"Nearby", Acknowledged{MemberId("10.0.0.3:7540")},
                   StatusCode(200), "10.0.0.3:8544"}),
    CaseName());

using ControlApiCallsTest = ControlApiTest;

// Guards against a call that becomes another event, or an event in spite of
// an invalid body.
TEST_F(ControlApiCallsTest, SendsOnlyValidCalls) {
  EXPECT_EQ(call("PUT", "/jaybridge/instances/i-1", "junk").Status_,
            StatusCode(400));
  EXPECT_EQ(call("PUT", "/jaybridge/config", "{").Status_, StatusCode(400));
  EXPECT_TRUE(Events_.empty());
  call("DELETE", "/jaybridge/instances/i-1", R"({"born":17})");
  ASSERT_EQ(Events_.size(), 1U);
  const auto &Departure = std::get<DeregisterRequest>(Events_[0]);
  EXPECT_EQ(Departure.Id_, InstanceId("i-1"));
  EXPECT_EQ(Departure.Version_, Incarnation(17));
  call("PUT", "/jaybridge/config",
       R"({"Version":5,"Routes":{},"Services":{}})");
  ASSERT_EQ(Events_.size(), 2U);
  EXPECT_EQ(std::get<DocumentWriteRequest>(Events_[1]).Document_.Version_,
            ConfigurationVersion(5));
}

} // namespace
} // namespace jaybridge
