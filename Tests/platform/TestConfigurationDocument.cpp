#include <Platform/ConfigurationDocument.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

std::string documentWith(const std::string &Routes) {
  return R"({"Version":7,"Routes":{)" + Routes +
         R"(},"Services":{"s1":{"HealthPath":"/health"},)"
         R"("s2":{"HealthPath":"/health"}},"Limits":{}})";
}

std::string routeWith(const std::string &Fields) {
  return R"("r1":{"Host":"A.example","PathPrefix":"/a/","Kind":"safe",)"
         R"("TimeoutS":1500,"TargetLatencyS":1000,"Priority":2,)" +
         Fields + "}";
}

struct RefusedCase {
  const char *Name_;
  std::string Text_;
};

class RefusedDocumentTest : public testing::TestWithParam<RefusedCase> {};

// Guards against an invalid configuration that is accepted.
TEST_P(RefusedDocumentTest, IsInvalid) {
  auto Read = platform::ConfigurationDocument::read(GetParam().Text_);
  ASSERT_FALSE(Read);
  EXPECT_EQ(Read.error().Code_, ErrorCode::Invalid);
}

const std::string Whole =
    documentWith(routeWith(R"("Service":"s1","MaxAttempts":2)"));

INSTANTIATE_TEST_SUITE_P(
    Texts, RefusedDocumentTest,
    testing::Values(
        RefusedCase{"Empty", ""},
        RefusedCase{"CutShort", Whole.substr(0, Whole.size() - 5)},
        RefusedCase{"NotAnObject", "[]"},
        RefusedCase{"NoVersion", R"({"Routes":{},"Services":{}})"},
        RefusedCase{
            "UnknownService",
            documentWith(routeWith(R"("Service":"none","MaxAttempts":2)"))},
        RefusedCase{
            "NoAttempts",
            documentWith(routeWith(R"("Service":"s1","MaxAttempts":0)"))},
        RefusedCase{"WeightBelowZero",
                    documentWith(routeWith(
                        R"("TrafficSplit":[{"Service":"s1","Weight":-1},)"
                        R"({"Service":"s2","Weight":5}],"MaxAttempts":2)"))},
        RefusedCase{
            "SamePlace",
            documentWith(routeWith(R"("Service":"s1","MaxAttempts":2)") +
                         R"(,"r2":{"Host":"a.example","PathPrefix":"/a/",)"
                         R"("Kind":"safe","TimeoutS":1,"TargetLatencyS":1,)"
                         R"("Priority":0,"Service":"s2","MaxAttempts":1})")},
        RefusedCase{
            "BarePrefix",
            documentWith(R"("r2":{"Host":"a.example","PathPrefix":"a/",)"
                         R"("Kind":"safe","TimeoutS":1,"TargetLatencyS":1,)"
                         R"("Priority":0,"Service":"s2","MaxAttempts":1})")}),
    CaseName());

// Guards against a field that is read as another one.
TEST(ConfigurationDocumentTest, BecomesARoutingTable) {
  auto Read = platform::ConfigurationDocument::read(documentWith(
      routeWith(R"("TrafficSplit":[{"Service":"s1","Weight":90},)"
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

struct KindCase {
  const char *Name_;
  std::string Kind_;
  bool IsRepeatable_;
};

class KindTest : public testing::TestWithParam<KindCase> {};

// Guards against requests that run twice because their kind is not known.
TEST_P(KindTest, IsRepeatableOnlyWhenSafe) {
  auto Read = platform::ConfigurationDocument::read(documentWith(
      R"("r1":{"Host":"a.example","PathPrefix":"/a/","Kind":")" +
      GetParam().Kind_ +
      R"(","TimeoutS":1,"TargetLatencyS":1,"Priority":0,"Service":"s1",)"
      R"("MaxAttempts":1})"));
  ASSERT_TRUE(Read) << Read.error().Message_;
  const Route *Found = Read.value().find(HostName("a.example"), "/a/b");
  ASSERT_NE(Found, nullptr);
  EXPECT_EQ(Found->Profile_.isRepeatable(), GetParam().IsRepeatable_);
}

INSTANTIATE_TEST_SUITE_P(Kinds, KindTest,
                         testing::Values(KindCase{"Safe", "safe", true},
                                         KindCase{"Unsafe", "unsafe", false},
                                         KindCase{"Unknown", "other", false},
                                         KindCase{"Empty", "", false}),
                         CaseName());

} // namespace
} // namespace jaybridge
