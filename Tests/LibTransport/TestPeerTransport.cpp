#include <LibTransport/PeerTransport.h>

#include <LibRuntime/BoundedRing.h>
#include <Support/CaseName.h>
#include <Support/RawListener.h>

#include <gtest/gtest.h>

#include <thread>

namespace jaybridge {
namespace {

constexpr const char *Token = "0123456789abcdef";

/// A transport that stores received messages in a ring.
class TestMember {
public:
  explicit TestMember(const char *Id, Endpoint Address = localAddress(),
                      const char *PresentedToken = Token)
      : Transport_(
            PeerTransport::create(
                {.Member_ = MemberId(Id),
                 .Address_ = std::move(Address),
                 .Token_ = AccessToken::create(PresentedToken).takeValue(),
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
  Envelope nextMessage() {
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
  for (int Attempt = 0; Attempt < 20'000; ++Attempt) {
    if (Condition())
      return;
    std::this_thread::sleep_for(1ms);
  }
  ADD_FAILURE() << "timed out while waiting for the condition";
}

class PayloadTest : public testing::TestWithParam<std::size_t> {};

// Guards against payloads that are truncated or corrupted, and against a reply
// that cannot be sent because the address of the sender is unknown.
TEST_P(PayloadTest, ArrivesCompleteAndCanBeAnswered) {
  TestMember Sender("one");
  TestMember Receiver("two");
  const std::string Payload(GetParam(), '\xfe');
  EXPECT_EQ(Sender.transport().send(Receiver.transport().address(),
                                    MessageKind::Forward, Payload),
            SendResult::Queued);
  Envelope Received = Receiver.nextMessage();
  EXPECT_EQ(Received.Kind_, MessageKind::Forward);
  EXPECT_EQ(Received.Sender_, MemberId("one"));
  EXPECT_TRUE(Received.Payload_ == Payload);
  EXPECT_EQ(
      Receiver.transport().send(Received.Sender_, MessageKind::Ledger, Payload),
      SendResult::Queued);
  EXPECT_EQ(Sender.nextMessage().Sender_, MemberId("two"));
}

INSTANTIATE_TEST_SUITE_P(Sizes, PayloadTest,
                         testing::Values(0, 1, 100'000, 2'000'000));

// Guards against messages that are lost or reordered on one connection.
TEST(PeerTransportTest, DeliversMessagesInOrder) {
  TestMember Sender("one");
  TestMember Receiver("two");
  for (int Number = 0; Number < 2000; ++Number)
    while (Sender.transport().send(
               Receiver.transport().address(), MessageKind::Distribution,
               std::to_string(Number)) == SendResult::QueueFull)
      std::this_thread::sleep_for(1ms);
  for (int Number = 0; Number < 2000; ++Number)
    ASSERT_EQ(Receiver.nextMessage().Payload_, std::to_string(Number));
  EXPECT_EQ(Sender.transport().counts().Connections_, EventCount(1));
}

// Guards against a peer that stays unreachable after its process has restarted.
TEST(PeerTransportTest, ReconnectsToRestartedPeer) {
  TestMember Sender("one");
  auto Receiver = std::make_unique<TestMember>("two");
  const Endpoint Address = Receiver->transport().address();
  EXPECT_EQ(Sender.transport().send(Address, MessageKind::Lease, "a"),
            SendResult::Queued);
  EXPECT_EQ(Receiver->nextMessage().Payload_, "a");
  Receiver.reset();
  waitFor([&] {
    (void)Sender.transport().send(Address, MessageKind::Lease, "lost");
    return Sender.transport().counts().ConnectFailures_ > EventCount(0);
  });
  Receiver = std::make_unique<TestMember>("two", Address);
  waitFor([&] {
    return Sender.transport().send(Address, MessageKind::Lease, "b") ==
           SendResult::Queued;
  });
  while (Receiver->nextMessage().Payload_ != "b") {
  }
  EXPECT_EQ(Sender.transport().counts().Connections_, EventCount(2));
}

// Guards against messages from a process that does not know the token.
TEST(PeerTransportTest, RefusesAndCountsWrongToken) {
  TestMember Sender("one", TestMember::localAddress(), "0123456789abcdeX");
  TestMember Receiver("two");
  EXPECT_EQ(Sender.transport().send(Receiver.transport().address(),
                                    MessageKind::Directory, "x"),
            SendResult::Queued);
  waitFor([&] {
    return Receiver.transport().counts().Unauthorized_ > EventCount(0);
  });
  EXPECT_EQ(Receiver.transport().counts().Received_, EventCount(0));
  EXPECT_EQ(Receiver.transport().send(MemberId("one"), MessageKind::Trace, "x"),
            SendResult::UnknownMember);
}

// Guards against a queue that grows without bound when the peer does not
// complete the handshake, and against refused messages that are not counted.
TEST(PeerTransportTest, CountsMessagesRefusedByFullQueue) {
  TestMember Sender("one");
  RawListener SilentPeer;
  std::uint64_t Refused = 0;
  for (int Number = 0; Number < 10; ++Number)
    if (Sender.transport().send(SilentPeer.address(), MessageKind::Evidence,
                                "x") == SendResult::QueueFull)
      ++Refused;
  EXPECT_EQ(Refused, 6);
  EXPECT_EQ(Sender.transport().counts().QueueFull_, EventCount(Refused));
  EXPECT_EQ(Sender.transport().send(SilentPeer.address(), MessageKind::Evidence,
                                    std::string(2'000'001, 'x')),
            SendResult::PayloadTooLarge);
}

struct MalformedCase {
  const char *Name_;
  std::string SentBytes_;
};

class MalformedTest : public testing::TestWithParam<MalformedCase> {};

// Guards against an unauthenticated client that can make the daemon allocate
// memory or crash.
TEST_P(MalformedTest, ClosesTheConnection) {
  TestMember Receiver("one");
  RawConnection Client(Receiver.transport().address());
  Client.send(GetParam().SentBytes_);
  EXPECT_EQ(Client.readUntilClosed(), "");
  EXPECT_EQ(Receiver.transport().counts().Malformed_, EventCount(1));
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
