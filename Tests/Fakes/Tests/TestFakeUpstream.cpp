#include <Fakes/FakeAnnouncer.h>

#include <LibHTTP/ControlListener.h>
#include <LibRuntime/BoundedRing.h>
#include <Support/CaseName.h>
#include <Support/RawConnection.h>

#include <gtest/gtest.h>

#include <thread>

namespace jaybridge {
namespace {

/// A fake upstream with one slot and no queue, on a thread of its own.
class RunningFake {
public:
  RunningFake() : Upstream_(Context_, options()) {
    EXPECT_TRUE(Upstream_.start());
    Thread_ = std::thread([this] { Context_.run(); });
  }
  ~RunningFake() {
    Context_.stop();
    Thread_.join();
  }

  std::string call(const std::string &RequestLine,
                   const std::string &Body = "") {
    RawConnection Caller(Upstream_.address());
    Caller.send(requestBytes(RequestLine, Body));
    return Caller.readMessage();
  }
  static std::string requestBytes(const std::string &RequestLine,
                                  const std::string &Body = "") {
    return RequestLine +
           " HTTP/1.1\r\nContent-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  }
  const Endpoint &address() const { return Upstream_.address(); }

private:
  static FakeUpstreamOptions options() {
    FakeUpstreamOptions Options;
    Options.Address_ = Endpoint::create("127.0.0.1:0").takeValue();
    Options.Slots_ = SlotCount(1);
    Options.QueueCapacity_ = SlotCount(0);
    Options.ServiceTime_ = 1ms;
    Options.ProbeTime_ = 1ms;
    return Options;
  }

  asio::io_context Context_{1};
  FakeUpstream Upstream_;
  std::thread Thread_;
};

struct FaultCase {
  const char *Name_;
  const char *Faults_;
  const char *RequestLine_;
  /// Prefix and suffix of the response that the caller reads.
  const char *ResponsePrefix_;
  const char *ResponseSuffix_;
  const char *LogContent_;
};

class FakeUpstreamTest : public testing::TestWithParam<FaultCase> {};

// Guards against a fake upstream that ignores a configured fault or does not
// log the request: tests that rely on the fault would then pass without it.
TEST_P(FakeUpstreamTest, InjectsFaultAndLogsRequest) {
  RunningFake Fake;
  EXPECT_TRUE(Fake.call("POST /_fake/faults", GetParam().Faults_)
                  .starts_with("HTTP/1.1 204"));
  const std::string Response = Fake.call(GetParam().RequestLine_, "body");
  EXPECT_TRUE(Response.starts_with(GetParam().ResponsePrefix_)) << Response;
  EXPECT_TRUE(Response.ends_with(GetParam().ResponseSuffix_)) << Response;
  const std::string Log = Fake.call("GET /_fake/log");
  EXPECT_NE(Log.find(GetParam().LogContent_), std::string::npos) << Log;
}

INSTANTIATE_TEST_SUITE_P(
    Faults, FakeUpstreamTest,
    testing::Values(
        FaultCase{"None", "{}", "POST /x?y", "HTTP/1.1 200",
                  "POST /x?y\nContent-Length: 4\n\nbody", "answered"},
        FaultCase{"Fail", "{\"fail\":1}", "POST /x", "HTTP/1.1 500",
                  "failed by the fake upstream", "faulty"},
        FaultCase{"Lose", "{\"lose\":1}", "POST /x", "", "", "faulty"},
        FaultCase{"Cut", "{\"cut\":1}", "POST /x", "HTTP/1.1 200", "body",
                  "faulty"},
        FaultCase{"FailProbes", "{\"fail_probes\":true}", "GET /health",
                  "HTTP/1.1 503", "", "\"executed\":[]"}),
    CaseName());

// Guards against a request that is shed as not-run but was executed, and
// against a slot that is still held after its caller has closed the connection.
TEST(FakeUpstreamTest, ShedsWhenFullAndCancelsOnDisconnect) {
  RunningFake Fake;
  Fake.call("POST /_fake/faults", "{\"hang\":1}");
  auto Hanging = std::make_unique<RawConnection>(Fake.address());
  Hanging->send(RunningFake::requestBytes("POST /hang"));
  while (Fake.call("GET /load").find("\"busy\":1") == std::string::npos)
    std::this_thread::sleep_for(1ms);
  EXPECT_NE(Fake.call("POST /shed").find("Jaybridge-Outcome: not-run"),
            std::string::npos);
  EXPECT_EQ(Fake.call("GET /_fake/log").find("/shed"), std::string::npos);
  Hanging.reset();
  while (Fake.call("GET /load").find("\"busy\":0") == std::string::npos)
    std::this_thread::sleep_for(1ms);
  EXPECT_NE(Fake.call("GET /_fake/log").find("cancelled"), std::string::npos);
}

// Guards against requests that are executed while the upstream drains.
TEST(FakeUpstreamTest, ShedsWhileDraining) {
  RunningFake Fake;
  EXPECT_TRUE(Fake.call("POST /_fake/drain").starts_with("HTTP/1.1 202"));
  EXPECT_NE(Fake.call("POST /x").find("Jaybridge-Outcome: not-run"),
            std::string::npos);
  EXPECT_NE(Fake.call("GET /load").find("draining"), std::string::npos);
}

// Guards against a state change that is not announced at once, and against
// announcements that the listener rejects as unauthorized.
TEST(FakeAnnouncerTest, AnnouncesEachStateChangeWithToken) {
  constexpr const char *Token = "0123456789abcdef";
  BoundedRing<std::string> Announced{RingCapacity(64)};
  ControlRoute Route{"POST", "/announce", ControlAccess::TokenRequired,
                     [&](ControlRequest Received, const ControlReply &Reply) {
                       EXPECT_TRUE(Announced.tryPush(Received.Body_));
                       Reply({StatusCode(204), "text/plain", ""});
                     }};
  auto Listener =
      ControlListener::create({Endpoint::create("127.0.0.1:0").takeValue(),
                               AccessToken::create(Token).takeValue()},
                              {Route})
          .takeValue();
  {
    FakeAnnouncer Announcer({Listener.address()}, Token, 10s);
    for (FakeState Next :
         {FakeState::Serving, FakeState::Draining, FakeState::Left}) {
      FakeAnnouncement Latest;
      Latest.Instance_ = InstanceId("i");
      Latest.State_ = Next;
      Announcer.update(Latest);
      auto Text = Announced.pop(std::chrono::steady_clock::now() + 20s);
      ASSERT_TRUE(Text);
      EXPECT_NE(Text->find(fakeStateName(Next)), std::string::npos) << *Text;
    }
  }
  EXPECT_EQ(Listener.counts().Unauthorized_, EventCount(0));
}

} // namespace
} // namespace jaybridge
