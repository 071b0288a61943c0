#include <LibCore/Endpoint.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct EndpointCase {
  const char *Name_;
  const char *Text_;
  bool IsValid_;
};

class EndpointTest : public testing::TestWithParam<EndpointCase> {};

// Guards against a setting that makes a process resolve a host name, or listen
// on a port other than the one written, because a malformed address was
// accepted.
TEST_P(EndpointTest, AcceptsOnlyAddressAndPort) {
  EXPECT_EQ(Endpoint::create(GetParam().Text_).hasValue(), GetParam().IsValid_);
}

INSTANTIATE_TEST_SUITE_P(
    Texts, EndpointTest,
    testing::Values(EndpointCase{"AddressAndPort", "127.0.0.1:80", true},
                    EndpointCase{"KernelPort", "10.1.2.3:0", true},
                    EndpointCase{"MaxPort", "10.1.2.3:65535", true},
                    EndpointCase{"PortTooLarge", "10.1.2.3:65536", false},
                    EndpointCase{"NoPort", "10.1.2.3", false},
                    EndpointCase{"ThreeParts", "10.1.2:80", false},
                    EndpointCase{"PartTooLarge", "10.1.2.256:80", false},
                    EndpointCase{"FiveParts", "10.1.2.3.4:80", false},
                    EndpointCase{"HostName", "localhost:80", false},
                    EndpointCase{"NegativePort", "10.1.2.3:-1", false},
                    EndpointCase{"Empty", "", false}),
    CaseName());

// Guards against an address that changes when it is parsed and written again.
TEST(EndpointText, MatchesParsedText) {
  auto Created = Endpoint::create("127.1.2.3:8080");
  ASSERT_TRUE(Created);
  EXPECT_EQ(Created.value().text(), "127.1.2.3:8080");
}

} // namespace
} // namespace jaybridge
