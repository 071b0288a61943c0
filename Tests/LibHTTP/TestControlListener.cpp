#include <LibHTTP/ControlListener.h>

#include <Support/CaseName.h>
#include <Support/RawConnection.h>

#include <gtest/gtest.h>

#include <thread>

namespace jaybridge {
namespace {

constexpr const char *Token = "0123456789abcdef";

std::vector<ControlRoute> testRoutes() {
  auto Routes =
      statusRoutes([] { return std::string("a 1\n"); }, [] { return false; });
  Routes.push_back({"POST", "/things/", ControlAccess::TokenRequired,
                    [](ControlRequest Received, const ControlReply &Reply) {
                      // Replies from another thread, as the daemon does.
                      std::thread([Received, Reply] {
                        Reply({StatusCode(201), "text/plain",
                               Received.Path_ + "|" + Received.Query_ + "|" +
                                   Received.Body_});
                      }).join();
                    }});
  return Routes;
}

ControlListener createListener() {
  return ControlListener::create({Endpoint::create("127.0.0.1:0").takeValue(),
                                  AccessToken::create(Token).takeValue(),
                                  ByteCount(10)},
                                 testRoutes())
      .takeValue();
}

struct ControlCase {
  const char *Name_;
  const char *MethodAndPath_;
  std::string Authorization_;
  std::string Body_;
  const char *ExpectedStatus_;
  const char *ExpectedText_;
  EventCount ExpectedUnauthorized_;
};

class ControlListenerTest : public testing::TestWithParam<ControlCase> {};

// Guards against requests without a valid token that reach a protected route,
// and against unauthorized requests that are not counted.
TEST_P(ControlListenerTest, RespondsByRouteAndToken) {
  ControlListener Listener = createListener();
  RawConnection Caller(Listener.address());
  std::string RequestBytes =
      std::string(GetParam().MethodAndPath_) + " HTTP/1.1\r\n";
  if (!GetParam().Authorization_.empty())
    RequestBytes += "Authorization: " + GetParam().Authorization_ + "\r\n";
  Caller.send(RequestBytes +
              "Content-Length: " + std::to_string(GetParam().Body_.size()) +
              "\r\n\r\n" + GetParam().Body_);
  std::string ResponseBytes = Caller.readMessage();
  EXPECT_NE(ResponseBytes.find(GetParam().ExpectedStatus_), std::string::npos)
      << ResponseBytes;
  EXPECT_NE(ResponseBytes.find(GetParam().ExpectedText_), std::string::npos)
      << ResponseBytes;
  EXPECT_EQ(Listener.counts().Unauthorized_, GetParam().ExpectedUnauthorized_);
}

INSTANTIATE_TEST_SUITE_P(
    Routes, ControlListenerTest,
    testing::Values(
        ControlCase{"Metrics", "GET /metrics", "", "", " 200 ", "a 1\n",
                    EventCount(0)},
        ControlCase{"Health", "GET /healthz", "", "", " 200 ", "ok",
                    EventCount(0)},
        ControlCase{"NotReady", "GET /readyz", "", "", " 503 ", "not ready",
                    EventCount(0)},
        ControlCase{"RightToken", "POST /things/x?y=z",
                    "Bearer 0123456789abcdef", "0123456789", " 201 ",
                    "/things/x|y=z|0123456789", EventCount(0)},
        ControlCase{"BodyTooLong", "POST /things/x", "Bearer 0123456789abcdef",
                    "0123456789a", " 413 ", "longer than 10 bytes",
                    EventCount(0)},
        ControlCase{"NoToken", "POST /things/x", "", "", " 401 ", "token",
                    EventCount(1)},
        ControlCase{"WrongToken", "POST /things/x", "Bearer 0123456789abcdeF",
                    "", " 401 ", "token", EventCount(1)},
        ControlCase{"BeginningOfTheToken", "POST /things/x",
                    "Bearer 0123456789abcde", "", " 401 ", "token",
                    EventCount(1)},
        ControlCase{"TokenTwice", "POST /things/x",
                    "Bearer 0123456789abcdef0123456789abcdef", "", " 401 ",
                    "token", EventCount(1)},
        ControlCase{"EmptyToken", "POST /things/x", "Bearer ", "", " 401 ",
                    "token", EventCount(1)},
        ControlCase{"UnknownPath", "GET /other", "Bearer 0123456789abcdef", "",
                    " 404 ", "no such", EventCount(0)},
        ControlCase{"UnknownPathWithoutToken", "GET /other", "", "", " 401 ",
                    "token", EventCount(1)}),
    CaseName());

} // namespace
} // namespace jaybridge
