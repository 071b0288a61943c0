#include <LibWire/ForwardCodec.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

constexpr TimePoint Here(100s);
/// The receiving VM's time line has nothing to do with the sender's.
constexpr TimePoint There(5s);

ForwardMessage carried(const ForwardMessage &Sent) {
  return decodeForwardMessage(encodeForwardMessage(Sent, Here), There)
      .takeValue();
}

// Guards against requests that lose parts on the way to a home, and against
// deadlines that depend on the sender's clock.
TEST(ForwardCodecTest, CarriesARequestWhole) {
  Request Given;
  Given.Id_ = RequestId("m1-1-1");
  Given.Service_ = ServiceName("tickets");
  Given.Method_ = "POST";
  Given.Target_ = "/a?b=\xff";
  Given.Headers_ = {{"X", "\xfe"}, {"X", ""}};
  Given.Body_ = std::make_shared<const std::string>("\0\1\2", 3);
  Given.Key_ = IdempotencyKeyText("key");
  auto Read = std::get<ForwardedRequest>(carried(
      ForwardedRequest{std::make_shared<const Request>(Given), Here + 250ms}));
  EXPECT_EQ(Read.Deadline_, There + 250ms);
  EXPECT_EQ(Read.Request_->Deadline_, There + 250ms);
  EXPECT_EQ(Read.Request_->Id_, Given.Id_);
  EXPECT_EQ(Read.Request_->Service_, Given.Service_);
  EXPECT_EQ(Read.Request_->Method_, Given.Method_);
  EXPECT_EQ(Read.Request_->Target_, Given.Target_);
  EXPECT_EQ(Read.Request_->Headers_, Given.Headers_);
  EXPECT_EQ(*Read.Request_->Body_, *Given.Body_);
  EXPECT_EQ(Read.Request_->Key_, Given.Key_);
}

// Guards against answers that lose parts on the way back.
TEST(ForwardCodecTest, CarriesAResponseWhole) {
  auto Read = std::get<ForwardAnswered>(carried(ForwardAnswered{
      RequestId("r"),
      Response{StatusCode(207),
               {{"A", "b"}},
               std::make_shared<const std::string>("\0x", 2)}}));
  EXPECT_EQ(Read.Id_, RequestId("r"));
  auto &Given = std::get<Response>(Read.Answer_);
  EXPECT_EQ(Given.Status_, StatusCode(207));
  EXPECT_EQ(Given.Headers_, (std::vector<Header>{{"A", "b"}}));
  EXPECT_EQ(*Given.Body_, std::string("\0x", 2));
}

class RefusalReasonTest : public testing::TestWithParam<int> {};

// Guards against a reason or an outcome that changes on the way, such as an
// unknown one that becomes not-run.
TEST_P(RefusalReasonTest, IsCarriedUnchanged) {
  const auto Reason = static_cast<RefusalReason>(GetParam());
  for (Outcome Certainty : {Outcome::NotRun, Outcome::Ran, Outcome::Unknown}) {
    auto Read = std::get<ForwardAnswered>(carried(ForwardAnswered{
        RequestId("r"), Refusal{Certainty, Reason, 1500ms, "detail"}}));
    auto &Refused = std::get<Refusal>(Read.Answer_);
    EXPECT_EQ(Refused.Outcome_, Certainty);
    EXPECT_EQ(Refused.Reason_, Reason);
    EXPECT_EQ(Refused.RetryAfter_, Duration(1500ms));
    EXPECT_EQ(Refused.Detail_, "detail");
  }
}

INSTANTIATE_TEST_SUITE_P(
    Reasons, RefusalReasonTest,
    testing::Range(0, static_cast<int>(RefusalReason::HomeLost) + 1));

// Guards against a cancellation for another request.
TEST(ForwardCodecTest, CarriesACancellation) {
  EXPECT_EQ(
      std::get<ForwardCancelled>(carried(ForwardCancelled{RequestId("gone")}))
          .Id_,
      RequestId("gone"));
}

// Guards against a damaged message that ends the process.
TEST(ForwardCodecTest, RefusesDamagedBytes) {
  const std::string Whole =
      encodeForwardMessage(ForwardAnswered{RequestId("r"), Refusal{}}, Here);
  for (std::size_t Length = 0; Length + 8 <= Whole.size(); Length += 8)
    EXPECT_FALSE(decodeForwardMessage(Whole.substr(0, Length), There))
        << Length;
  for (std::size_t I = 0; I < Whole.size(); ++I) {
    std::string Damaged = Whole;
    Damaged[I] = static_cast<char>(Damaged[I] ^ 0xff);
    // Some changes leave a valid message; none may throw or crash.
    (void)decodeForwardMessage(Damaged, There).hasValue();
  }
}

} // namespace
} // namespace jaybridge
