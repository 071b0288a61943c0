#include <LibWire/ForwardCodec.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

constexpr TimePoint SenderNow(100s);
/// Clocks of two VMs are unrelated.
constexpr TimePoint ReceiverNow(5s);

ForwardMessage encodeAndDecode(const ForwardMessage &Message) {
  return decodeForwardMessage(encodeForwardMessage(Message, SenderNow),
                              ReceiverNow)
      .takeValue();
}

// Guards against forwarded requests that lose fields, and against deadlines
// that depend on the sender's clock.
TEST(ForwardCodecTest, KeepsEveryFieldOfARequest) {
  Request Sent;
  Sent.Id_ = RequestId("m1-1-1");
  Sent.Service_ = ServiceName("tickets");
  Sent.Method_ = "POST";
  Sent.Target_ = "/a?b=\xff";
  Sent.Headers_ = {{"X", "\xfe"}, {"X", ""}};
  Sent.Body_ = std::make_shared<const std::string>("\0\1\2", 3);
  Sent.Key_ = IdempotencyKeyText("key");
  auto Read = std::get<ForwardedRequest>(encodeAndDecode(ForwardedRequest{
      std::make_shared<const Request>(Sent), SenderNow + 250ms}));
  EXPECT_EQ(Read.Deadline_, ReceiverNow + 250ms);
  EXPECT_EQ(Read.Request_->Deadline_, ReceiverNow + 250ms);
  EXPECT_EQ(Read.Request_->Id_, Sent.Id_);
  EXPECT_EQ(Read.Request_->Service_, Sent.Service_);
  EXPECT_EQ(Read.Request_->Method_, Sent.Method_);
  EXPECT_EQ(Read.Request_->Target_, Sent.Target_);
  EXPECT_EQ(Read.Request_->Headers_, Sent.Headers_);
  EXPECT_EQ(*Read.Request_->Body_, *Sent.Body_);
  EXPECT_EQ(Read.Request_->Key_, Sent.Key_);
}

// Guards against forwarded responses that lose fields.
TEST(ForwardCodecTest, KeepsEveryFieldOfAResponse) {
  auto Read = std::get<ForwardAnswered>(encodeAndDecode(ForwardAnswered{
      RequestId("r"),
      Response{StatusCode(207),
               {{"A", "b"}},
               std::make_shared<const std::string>("\0x", 2)}}));
  EXPECT_EQ(Read.Id_, RequestId("r"));
  auto &Received = std::get<Response>(Read.Answer_);
  EXPECT_EQ(Received.Status_, StatusCode(207));
  EXPECT_EQ(Received.Headers_, (std::vector<Header>{{"A", "b"}}));
  EXPECT_EQ(*Received.Body_, std::string("\0x", 2));
}

class RefusalReasonTest : public testing::TestWithParam<int> {};

// Guards against a reason or an outcome that changes in transit, such as an
// unknown outcome that becomes not-run and so permits a retry.
TEST_P(RefusalReasonTest, IsUnchanged) {
  const auto Reason = static_cast<RefusalReason>(GetParam());
  for (Outcome SentOutcome :
       {Outcome::NotRun, Outcome::Ran, Outcome::Unknown}) {
    auto Read = std::get<ForwardAnswered>(encodeAndDecode(ForwardAnswered{
        RequestId("r"), Refusal{SentOutcome, Reason, 1500ms, "detail"}}));
    auto &Refused = std::get<Refusal>(Read.Answer_);
    EXPECT_EQ(Refused.Outcome_, SentOutcome);
    EXPECT_EQ(Refused.Reason_, Reason);
    EXPECT_EQ(Refused.RetryAfter_, Duration(1500ms));
    EXPECT_EQ(Refused.Detail_, "detail");
  }
}

INSTANTIATE_TEST_SUITE_P(Reasons, RefusalReasonTest,
                         testing::Range(0, static_cast<int>(LastRefusalReason) +
                                               1));

// Guards against a cancellation that reaches another request.
TEST(ForwardCodecTest, KeepsTheIdOfACancellation) {
  EXPECT_EQ(std::get<ForwardCancelled>(
                encodeAndDecode(ForwardCancelled{RequestId("gone")}))
                .Id_,
            RequestId("gone"));
}

// Guards against a damaged message that crashes the daemon.
TEST(ForwardCodecTest, RejectsDamagedMessages) {
  const std::string Valid = encodeForwardMessage(
      ForwardAnswered{RequestId("r"), Refusal{}}, SenderNow);
  for (std::size_t Length = 0; Length + 8 <= Valid.size(); Length += 8)
    EXPECT_FALSE(decodeForwardMessage(Valid.substr(0, Length), ReceiverNow))
        << Length;
  for (std::size_t I = 0; I < Valid.size(); ++I) {
    std::string Damaged = Valid;
    Damaged[I] = static_cast<char>(Damaged[I] ^ 0xff);
    // Some corruptions leave a valid message; none may throw or crash.
    (void)decodeForwardMessage(Damaged, ReceiverNow).hasValue();
  }
}

} // namespace
} // namespace jaybridge
