#include <LibTransport/PeerTransport.h>

#include <LibRuntime/BoundedRing.h>
#include <Support/CaseName.h>
#include <Support/RawListener.h>

#include <gtest/gtest.h>

#include <thread>

namespace jaybridge {
namespace {

constexpr const char *Token = "0123456789abcdef";

/// A transport whose messages are put into a ring.
class Member {
public:
  explicit Member(const char *Id, Endpoint Address = localAddress(),
                  const char *Presented = Token)
      : Transport_(PeerTransport::create(
                       {.Member_ = MemberId(Id),
                        .Address_ = std::move(Address),
                        .Token_ = AccessToken::create(Presented).takeValue(),
                        .MaxQueuedMessages_ = MessageCount(4),
                        .MaxPayloadSize_ = ByteCount(2'000'000),
                        .MessageLifetime_ = 20s,
                        .MinBackoff_ = 1ms,
                        .MaxBackoff_ = 10ms},
                       {[this](Envelope Received) {
                          EXPECT_TRUE(Received_.tryPush(std::move(Received)));
                        },
                        {}})
                       .takeValue()) {}

  static Endpoint localAddress() {
    return Endpoint::create("127.0.0.1:0").takeValue();
  }
  Envelope next() {
    auto Next = Received_.pop(std::chrono::steady_clock::now() + 20s);
    EXPECT_TRUE(Next);
    return Next ? *Next : Envelope{};
  }
  PeerTransport &transport() { return Transport_; }

private:
  BoundedRing<Envelope> Received_{RingCapacity(4096)};
  PeerTransport Transport_;
};

void waitFor(const std::function<bool()> &Condition) {
  for (int Tries = 0; Tries < 20'000; ++Tries) {
    if (Condition())
      return;
    std::this_thread::sleep_for(1ms);
  }
  ADD_FAILURE() << "the condition did not come true";
}

class PayloadTest : public testing::TestWithParam<std::size_t> {};

// Guards against payloads that are cut or mixed, and against an answer that
// finds no way back to the member that wrote.
TEST_P(PayloadTest, ArrivesWholeAndCanBeAnswered) {
  Member One("one");
  Member Two("two");
  const std::string Payload(GetParam(), '\xfe');
  EXPECT_EQ(One.transport().send(Two.transport().address(),
                                 MessageKind::Forward, Payload),
            SendResult::Queued);
  Envelope Received = Two.next();
  EXPECT_EQ(Received.Kind_, MessageKind::Forward);
  EXPECT_EQ(Received.Sender_, MemberId("one"));
  EXPECT_TRUE(Received.Payload_ == Payload);
  EXPECT_EQ(
      Two.transport().send(Received.Sender_, MessageKind::Ledger, Payload),
      SendResult::Queued);
  EXPECT_EQ(One.next().Sender_, MemberId("two"));
}

INSTANTIATE_TEST_SUITE_P(Sizes, PayloadTest,
                         testing::Values(0, 1, 100'000, 2'000'000));

// Guards against messages that are lost or change places on one connection.
TEST(PeerTransportTest, KeepsTheOrder) {
  Member One("one");
  Member Two("two");
  for (int Number = 0; Number < 2000; ++Number)
    while (One.transport().send(Two.transport().address(), MessageKind::Spread,
                                std::to_string(Number)) ==
           SendResult::QueueFull)
      std::this_thread::sleep_for(1ms);
  for (int Number = 0; Number < 2000; ++Number)
    ASSERT_EQ(Two.next().Payload_, std::to_string(Number));
  EXPECT_EQ(One.transport().counts().Connections_, EventCount(1));
}

// Guards against a peer that stays cut off after its process was restarted.
TEST(PeerTransportTest, ReconnectsToARestartedPeer) {
  Member One("one");
  auto Two = std::make_unique<Member>("two");
  const Endpoint Address = Two->transport().address();
  EXPECT_EQ(One.transport().send(Address, MessageKind::Lease, "a"),
            SendResult::Queued);
  EXPECT_EQ(Two->next().Payload_, "a");
  Two.reset();
  waitFor([&] {
    (void)One.transport().send(Address, MessageKind::Lease, "lost");
    return One.transport().counts().ConnectFailures_ > EventCount(0);
  });
  Two = std::make_unique<Member>("two", Address);
  waitFor([&] {
    return One.transport().send(Address, MessageKind::Lease, "b") ==
           SendResult::Queued;
  });
  while (Two->next().Payload_ != "b") {
  }
  EXPECT_EQ(One.transport().counts().Connections_, EventCount(2));
}

// Guards against messages of a process that does not know the token.
TEST(PeerTransportTest, RefusesAndCountsAWrongToken) {
  Member One("one", Member::localAddress(), "0123456789abcdeX");
  Member Two("two");
  EXPECT_EQ(One.transport().send(Two.transport().address(),
                                 MessageKind::Directory, "x"),
            SendResult::Queued);
  waitFor(
      [&] { return Two.transport().counts().Unauthorized_ > EventCount(0); });
  EXPECT_EQ(Two.transport().counts().Received_, EventCount(0));
  EXPECT_EQ(Two.transport().send(MemberId("one"), MessageKind::Trace, "x"),
            SendResult::UnknownMember);
}

// Guards against a peer that reads nothing and makes the queue grow without
// limit, and against drops that nobody sees.
TEST(PeerTransportTest, CountsWhatAFullQueueRefuses) {
  Member One("one");
  RawListener Silent;
  std::uint64_t Refused = 0;
  for (int Number = 0; Number < 10; ++Number)
    if (One.transport().send(Silent.address(), MessageKind::Evidence, "x") ==
        SendResult::QueueFull)
      ++Refused;
  EXPECT_EQ(Refused, 6);
  EXPECT_EQ(One.transport().counts().QueueFull_, EventCount(Refused));
  EXPECT_EQ(One.transport().send(Silent.address(), MessageKind::Evidence,
                                 std::string(2'000'001, 'x')),
            SendResult::TooLong);
}

struct MalformedCase {
  const char *Name_;
  std::string Sent_;
};

class MalformedTest : public testing::TestWithParam<MalformedCase> {};

// Guards against a stranger that makes the daemon reserve memory or crash.
TEST_P(MalformedTest, ClosesTheConnection) {
  Member One("one");
  RawConnection Stranger(One.transport().address());
  Stranger.send(GetParam().Sent_);
  EXPECT_EQ(Stranger.readUntilClosed(), "");
  EXPECT_EQ(One.transport().counts().Malformed_, EventCount(1));
}

INSTANTIATE_TEST_SUITE_P(
    Openings, MalformedTest,
    testing::Values(MalformedCase{"HTTP", "GET / HTTP/1.1\r\n\r\n"},
                    MalformedCase{"LongHello",
                                  std::string("\x7f\xff\xff\xff\0", 5)},
                    MalformedCase{"MessageFirst", std::string("\0\0\0\0\1", 5)},
                    MalformedCase{"EmptyHello", std::string("\0\0\0\0\0", 5)}),
    CaseName());

} // namespace
} // namespace jaybridge
