#include <Platform/ConfigurationDocument.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

std::string documentWithRoutes(const std::string &Routes) {
  return R"({"Version":7,"Routes":{)" + Routes +
         R"(},"Services":{"s1":{"HealthPath":"/health"},)"
         R"("s2":{"HealthPath":"/health"}},"Limits":{}})";
}

std::string routeWithFields(const std::string &Fields) {
  return R"("r1":{"Host":"A.example","PathPrefix":"/a/","Kind":"safe",)"
         R"("TimeoutS":1500,"TargetLatencyS":1000,"Priority":2,)" +
         Fields + "}";
}

struct InvalidDocumentCase {
  const char *Name_;
  std::string Text_;
};

class InvalidDocumentTest : public testing::TestWithParam<InvalidDocumentCase> {
};

// Guards against accepting an invalid configuration document.
TEST_P(InvalidDocumentTest, IsRejected) {
  auto Read = platform::ConfigurationDocument::read(GetParam().Text_);
  ASSERT_FALSE(Read);
  EXPECT_EQ(Read.error().Code_, ErrorCode::Invalid);
}

const std::string ValidDocument =
    documentWithRoutes(routeWithFields(R"("Service":"s1","MaxAttempts":2)"));

INSTANTIATE_TEST_SUITE_P(
    Texts, InvalidDocumentTest,
    testing::Values(
        InvalidDocumentCase{"Empty", ""},
        InvalidDocumentCase{"CutShort",
                            ValidDocument.substr(0, ValidDocument.size() - 5)},
        InvalidDocumentCase{"NotAnObject", "[]"},
        InvalidDocumentCase{"NestedWithoutEnd", std::string(1'000'000, '[')},
        InvalidDocumentCase{"NestedField",
                            ValidDocument.substr(0, ValidDocument.size() - 1) +
                                R"(,"More":)" + std::string(100'000, '[') +
                                std::string(100'000, ']') + "}"},
        InvalidDocumentCase{"NoVersion", R"({"Routes":{},"Services":{}})"},
        InvalidDocumentCase{"UnknownService",
                            documentWithRoutes(routeWithFields(
                                R"("Service":"none","MaxAttempts":2)"))},
        InvalidDocumentCase{"NoAttempts",
                            documentWithRoutes(routeWithFields(
                                R"("Service":"s1","MaxAttempts":0)"))},
        InvalidDocumentCase{
            "WeightBelowZero",
            documentWithRoutes(routeWithFields(
                R"("TrafficSplit":[{"Service":"s1","Weight":-1},)"
                R"({"Service":"s2","Weight":5}],"MaxAttempts":2)"))},
        InvalidDocumentCase{
            "SamePlace",
            documentWithRoutes(
                routeWithFields(R"("Service":"s1","MaxAttempts":2)") +
                R"(,"r2":{"Host":"a.example","PathPrefix":"/a/",)"
                R"("Kind":"safe","TimeoutS":1,"TargetLatencyS":1,)"
                R"("Priority":0,"Service":"s2","MaxAttempts":1})")},
        InvalidDocumentCase{
            "BarePrefix",
            documentWithRoutes(
                R"("r2":{"Host":"a.example","PathPrefix":"a/",)"
                R"("Kind":"safe","TimeoutS":1,"TargetLatencyS":1,)"
                R"("Priority":0,"Service":"s2","MaxAttempts":1})")}),
    CaseName());

// Guards against fields of the document that are mixed up in the routing table.
TEST(ConfigurationDocumentTest, ReadsTheFieldsOfARoute) {
  auto Read = platform::ConfigurationDocument::read(documentWithRoutes(
      routeWithFields(R"("TrafficSplit":[{"Service":"s1","Weight":90},)"
                      R"({"Service":"s2","Weight":10}],"MaxAttempts":2)")));
  ASSERT_TRUE(Read) << Read.error().Message_;
  const RoutingTable &Table = Read.value();
  EXPECT_EQ(Table.version(), ConfigurationVersion(7));
  const Route *Found = Table.find(HostName("a.example"), "/a/b");
  ASSERT_NE(Found, nullptr);
  EXPECT_EQ(Found->Profile_.patience(), 1500ms);
  EXPECT_TRUE(Found->Profile_.isRepeatable());
  EXPECT_EQ(Found->Values_.TargetLatency_, 1s);
  EXPECT_EQ(Found->Values_.MaxAttempts_, AttemptCount(2));
  EXPECT_EQ(Found->Values_.Priority_, RoutePriority(2));
  ASSERT_EQ(Found->Values_.WeightedServices_.size(), 2U);
  EXPECT_EQ(Found->Values_.WeightedServices_[0].Weight_, SplitWeight(90));
  EXPECT_EQ(Table.find(HostName("a.example"), "/b/"), nullptr);
  EXPECT_EQ(Table.find(HostName("b.example"), "/a/"), nullptr);
}

struct RouteKindCase {
  const char *Name_;
  std::string Kind_;
  bool IsRepeatable_;
};

class RouteKindTest : public testing::TestWithParam<RouteKindCase> {};

// Guards against requests that run twice because the kind of their route is
// unknown and taken for a safe one.
TEST_P(RouteKindTest, IsRepeatableOnlyWhenSafe) {
  auto Read = platform::ConfigurationDocument::read(documentWithRoutes(
      R"("r1":{"Host":"a.example","PathPrefix":"/a/","Kind":")" +
      GetParam().Kind_ +
      R"(","TimeoutS":1,"TargetLatencyS":1,"Priority":0,"Service":"s1",)"
      R"("MaxAttempts":1})"));
  ASSERT_TRUE(Read) << Read.error().Message_;
  const Route *Found = Read.value().find(HostName("a.example"), "/a/b");
  ASSERT_NE(Found, nullptr);
  EXPECT_EQ(Found->Profile_.isRepeatable(), GetParam().IsRepeatable_);
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, RouteKindTest,
    testing::Values(RouteKindCase{"Safe", "safe", true},
                    RouteKindCase{"Unsafe", "unsafe", false},
                    RouteKindCase{"Unknown", "other", false},
                    RouteKindCase{"Empty", "", false}),
    CaseName());

} // namespace
} // namespace jaybridge
