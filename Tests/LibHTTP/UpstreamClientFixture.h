#pragma once

#include <LibHTTP/UpstreamClient.h>
#include <LibRuntime/BoundedRing.h>
#include <LibRuntime/SystemClock.h>

#include <gtest/gtest.h>

namespace jaybridge {

inline constexpr std::size_t AnswerLimit = 1000;

/// A client that stores finished attempts in a ring.
class ClientFixture {
public:
  ClientFixture()
      : Client_(UpstreamClient::create({.AnswerLimit_ = ByteCount(AnswerLimit)},
                                       [this](AttemptFinished Finished) {
                                         EXPECT_TRUE(Finished_.tryPush(
                                             std::move(Finished)));
                                       })
                    .takeValue()) {}

  AttemptId send(const Endpoint &Upstream, std::string Method,
                 std::string Body = "", Duration RemainingTime = 20s) {
    auto Sent = std::make_shared<Request>();
    Sent->Id_ = RequestId("r");
    Sent->Method_ = std::move(Method);
    Sent->Target_ = "/a/../b?c=%20";
    Sent->Headers_ = {{"X-One", "1"}, {"X-Empty", ""}};
    Sent->Body_ = std::make_shared<const std::string>(std::move(Body));
    LastAttempt_ = LastAttempt_.next();
    EXPECT_TRUE(
        Client_.start({LastAttempt_, InstanceId("i"), Upstream, std::move(Sent),
                       monotonicNow() + RemainingTime}));
    return LastAttempt_;
  }
  AttemptFinished nextFinished() {
    auto Next = Finished_.pop(std::chrono::steady_clock::now() + 20s);
    EXPECT_TRUE(Next);
    return Next ? *Next : AttemptFinished{};
  }
  UpstreamClient &client() { return Client_; }

private:
  BoundedRing<AttemptFinished> Finished_{RingCapacity(16)};
  UpstreamClient Client_;
  AttemptId LastAttempt_;
};

inline std::string okResponse(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

} // namespace jaybridge
