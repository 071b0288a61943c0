#include <LibHTTP/ConnectionTimeouts.h>
#include <LibHTTP/PipelineOrder.h>
#include <LibHTTP/ReceiveBudget.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

constexpr std::uint64_t Kibibyte = 1024;
constexpr std::uint64_t Mebibyte = 1024 * Kibibyte;

struct Holding {
  std::uint64_t Id_;
  std::uint64_t Complete_;
  std::uint64_t Incomplete_;
  Duration At_;
};

struct CutOffCase {
  const char *Name_;
  std::vector<Holding> Holdings_;
  std::uint64_t Growing_;
  /// 0 for none.
  std::uint64_t CutOff_;
};

class CutOffTest : public testing::TestWithParam<CutOffCase> {};

// Guards against memory that is freed at the expense of complete requests, of
// callers that make progress, or of small requests that fit into the reserve.
TEST_P(CutOffTest, ChoosesTheCheapestConnection) {
  ReceiveBudget Budget = ReceiveBudget::forReceiving(ByteCount(16 * Mebibyte));
  for (const auto &[Id, Complete, Incomplete, At] : GetParam().Holdings_)
    Budget.hold(ConnectionId(Id), {ByteCount(Complete), ByteCount(Incomplete)},
                TimePoint() + At);
  const auto Chosen =
      Budget.nextCutOff(ConnectionId(GetParam().Growing_), TimePoint() + 10s);
  EXPECT_EQ(Chosen.value_or(ConnectionId()).value(), GetParam().CutOff_);
}

INSTANTIATE_TEST_SUITE_P(
    Budgets, CutOffTest,
    testing::Values(
        CutOffCase{"NoneWithinTheLimit",
                   {{1, 0, 8 * Mebibyte, 0s}, {2, 7 * Mebibyte, 0, 10s}},
                   2,
                   0},
        CutOffCase{"LargestOfEquallyStalled",
                   {{1, 0, 4 * Mebibyte, 1s},
                    {2, 0, 8 * Mebibyte, 1s},
                    {3, 0, 5 * Mebibyte, 10s}},
                   3,
                   2},
        CutOffCase{"LongestStalledOfEquals",
                   {{1, 0, 8 * Mebibyte, 9s}, {2, 0, 8 * Mebibyte, 2s}},
                   1,
                   2},
        CutOffCase{"NeverACompleteRequest",
                   {{1, 14 * Mebibyte, 0, 0s}, {2, 0, 3 * Mebibyte, 10s}},
                   2,
                   2},
        CutOffCase{"NoneWhenAllAreComplete",
                   {{1, 9 * Mebibyte, 0, 0s}, {2, 9 * Mebibyte, 0, 0s}},
                   2,
                   0},
        CutOffCase{"SmallRequestUsesTheReserve",
                   {{1, 0, 15 * Mebibyte, 0s}, {2, 0, 64 * Kibibyte, 10s}},
                   2,
                   0},
        CutOffCase{"LargeRequestDoesNotUseTheReserve",
                   {{1, 0, 15 * Mebibyte, 0s}, {2, 0, 65 * Kibibyte, 10s}},
                   2,
                   1}),
    CaseName());

// Guards against an announced length that evicts others or is received although
// it can never fit, and against bytes that stay counted after a release.
TEST(ReceiveBudgetTest, AdmitsWhatFitsBesideCompleteRequests) {
  ReceiveBudget Budget = ReceiveBudget::forReceiving(ByteCount(16 * Mebibyte));
  Budget.hold(ConnectionId(1), {ByteCount(10 * Mebibyte), ByteCount(4)},
              TimePoint());
  EXPECT_TRUE(Budget.admits(ByteCount(5 * Mebibyte)));
  EXPECT_FALSE(Budget.admits(ByteCount(5 * Mebibyte + 1)));
  EXPECT_FALSE(Budget.isShort());
  Budget.hold(ConnectionId(2), {ByteCount(), ByteCount(3 * Mebibyte)},
              TimePoint());
  EXPECT_TRUE(Budget.isShort());
  Budget.release(ConnectionId(1));
  EXPECT_TRUE(Budget.admits(ByteCount(15 * Mebibyte)));
  EXPECT_FALSE(Budget.isShort());
  EXPECT_EQ(Budget.total(), ByteCount(3 * Mebibyte));
}

// Guards against callers that read their responses slowly but steadily and are
// disconnected because others read nothing.
TEST(SendBudgetTest, CutsOffOnlyCallersThatAcceptNothing) {
  ReceiveBudget Budget = ReceiveBudget::forSending(ByteCount(16 * Mebibyte));
  const HeldBytes Waiting{ByteCount(), ByteCount(3 * Mebibyte)};
  Budget.hold(ConnectionId(1), Waiting, TimePoint());
  Budget.hold(ConnectionId(2), Waiting, TimePoint() + 1s);
  EXPECT_FALSE(Budget.nextCutOff(ConnectionId(2), TimePoint() + 9s));
  Budget.recordProgress(ConnectionId(1), TimePoint() + 9s);
  EXPECT_EQ(Budget.nextCutOff(ConnectionId(2), TimePoint() + 11s),
            ConnectionId(2));
}

// Guards against callers that accept nothing and together fill the memory in
// less time than a slow reader is given.
TEST(SendBudgetTest, CutsOffEarlierAtTwiceTheLimit) {
  ReceiveBudget Budget = ReceiveBudget::forSending(ByteCount(16 * Mebibyte));
  const HeldBytes Waiting{ByteCount(), ByteCount(5 * Mebibyte)};
  Budget.hold(ConnectionId(1), Waiting, TimePoint());
  Budget.hold(ConnectionId(2), Waiting, TimePoint() + 900ms);
  EXPECT_FALSE(Budget.nextCutOff(ConnectionId(2), TimePoint() + 999ms));
  EXPECT_EQ(Budget.nextCutOff(ConnectionId(2), TimePoint() + 1s),
            ConnectionId(1));
}

struct OrderCase {
  const char *Name_;
  /// Methods of the requests; 's' is safe, 'u' is not.
  std::string Requests_;
  /// Positions passed on before any answer.
  std::vector<std::size_t> PassedOn_;
  bool CanCloseAfterFirst_;
  bool CanReadMore_;
};

class PipelineOrderTest : public testing::TestWithParam<OrderCase> {};

// Guards against actions that run although an earlier response closes their
// connection, and against callers that fill memory with pipelined requests.
TEST_P(PipelineOrderTest, PassesOnOnlySafeRequestsEarly) {
  PipelineOrder Order;
  for (char Method : GetParam().Requests_)
    Order.add(Method == 's');
  std::vector<std::size_t> PassedOn;
  while (auto Next = Order.nextToPassOn()) {
    Order.passOn(*Next);
    PassedOn.push_back(*Next);
  }
  EXPECT_EQ(PassedOn, GetParam().PassedOn_);
  EXPECT_EQ(Order.canCloseAfterFirst(), GetParam().CanCloseAfterFirst_);
  EXPECT_EQ(Order.canReadMore(ByteCount()), GetParam().CanReadMore_);
  EXPECT_FALSE(Order.canReadMore(PipelineOrder::MaxReadAhead));
}

INSTANTIATE_TEST_SUITE_P(
    Orders, PipelineOrderTest,
    testing::Values(OrderCase{"One", "u", {0}, true, true},
                    OrderCase{"Safe", "sss", {0, 1, 2}, false, true},
                    OrderCase{"ActionWaits", "su", {0}, true, true},
                    OrderCase{"SafeBehindAction", "us", {0}, true, true},
                    OrderCase{"SafeBehindWaiting", "ssus", {0, 1}, false, true},
                    OrderCase{"Full", "uuuuuuuu", {0}, true, false}),
    CaseName());

// Guards against a request of a route that is not repeatable that runs behind
// another request, or never.
TEST(PipelineOrderTest, RequestThatAwaitsItsTurnIsPassedOnWhenItIsFirst) {
  PipelineOrder Order;
  for (int Count = 0; Count < 3; ++Count)
    Order.add(true);
  for (std::size_t Position = 0; Position < 3; ++Position)
    Order.passOn(Position);
  Order.awaitTurn(1);
  EXPECT_FALSE(Order.nextToPassOn());
  Order.answer(0);
  ASSERT_TRUE(Order.isFirstAnswered());
  Order.removeFirst();
  EXPECT_EQ(Order.nextToPassOn(), 0U);
}

struct TimeoutCase {
  const char *Name_;
  ConnectionPhase Phase_;
  std::uint64_t BodyBytes_;
  Duration After_;
  bool Expires_;
};

class ConnectionTimeoutTest : public testing::TestWithParam<TimeoutCase> {};

// Guards against slow callers that hold a connection for ever, and against
// callers within the limits that are disconnected.
TEST_P(ConnectionTimeoutTest, EndsSlowCallers) {
  ConnectionTimeouts Timeouts{TimePoint()};
  Timeouts.restart(GetParam().Phase_, TimePoint());
  Timeouts.receiveBody(ByteCount(GetParam().BodyBytes_));
  EXPECT_EQ(Timeouts.hasExpired(TimePoint() + GetParam().After_),
            GetParam().Expires_);
}

INSTANTIATE_TEST_SUITE_P(
    Phases, ConnectionTimeoutTest,
    testing::Values(
        TimeoutCase{"ReusedConnection", ConnectionPhase::Idle, 0, 12s, false},
        TimeoutCase{"Idle", ConnectionPhase::Idle, 0, 75s, true},
        TimeoutCase{"SlowHead", ConnectionPhase::Head, 0, 3s, false},
        TimeoutCase{"StalledHead", ConnectionPhase::Head, 0, 10s, true},
        TimeoutCase{"SlowBody", ConnectionPhase::Body, 16 * Kibibyte, 5s,
                    false},
        TimeoutCase{"StalledBody", ConnectionPhase::Body, 16 * Kibibyte - 1, 5s,
                    true},
        TimeoutCase{"LongService", ConnectionPhase::Answering, 0, 1h, false},
        TimeoutCase{"NotClosed", ConnectionPhase::Closing, 0, 2s, true}),
    CaseName());

} // namespace
} // namespace jaybridge
