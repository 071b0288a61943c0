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
TEST_P(RouteKindTest, IsRepeatableOnlyWhenKnownToBe) {
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
                    RouteKindCase{"Download", "download", true},
                    RouteKindCase{"Unsafe", "unsafe", false},
                    RouteKindCase{"Unknown", "other", false},
                    RouteKindCase{"Empty", "", false}),
    CaseName());

std::string documentWithTeams(const std::string &Teams) {
  return ValidDocument.substr(0, ValidDocument.size() - 1) + R"(,"Tenants":)" +
         Teams + "}";
}

// Guards against fields of a team that are mixed up or lost.
TEST(ConfigurationDocumentTest, ReadsTheFieldsOfATeam) {
  auto Read = platform::ConfigurationDocument::read(documentWithTeams(
      R"({"t1":{"ApiKeys":["k1","k2"],"Priority":1,"RatePerS":4.5,)"
      R"("Burst":9},"t2":{"ApiKeys":["k3"]}})"));
  ASSERT_TRUE(Read) << Read.error().Message_;
  const TeamDirectory &Teams = Read.value().teams();
  const Team *First = Teams.findByKey(Credential("k2"));
  ASSERT_NE(First, nullptr);
  EXPECT_EQ(First->Name_, TeamName("t1"));
  EXPECT_EQ(First->Priority_, RoutePriority(1));
  EXPECT_EQ(First->Limit_, (TeamLimit{RequestRate(4.5), RequestTokens(9)}));
  const Team *Second = Teams.findByKey(Credential("k3"));
  ASSERT_NE(Second, nullptr);
  EXPECT_EQ(Second->Priority_, std::nullopt);
  EXPECT_EQ(Second->Limit_, std::nullopt);
}

struct TeamsTextCase {
  const char *Name_;
  std::string Teams_;
  bool IsValid_;
};

class TeamsTextTest : public testing::TestWithParam<TeamsTextCase> {};

// Guards against a team that is read in part, and against an error that
// contains a key.
TEST_P(TeamsTextTest, IsRejectedUnlessEachFieldIsValid) {
  auto Read = platform::ConfigurationDocument::read(
      documentWithTeams(GetParam().Teams_));
  ASSERT_EQ(Read.hasValue(), GetParam().IsValid_);
  if (Read)
    return;
  EXPECT_EQ(Read.error().Code_, ErrorCode::Invalid);
  EXPECT_EQ(Read.error().Message_.find("secret"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    Texts, TeamsTextTest,
    testing::Values(
        TeamsTextCase{"None", "{}", true}, TeamsTextCase{"Null", "null", true},
        TeamsTextCase{"NoFields", R"({"t":{}})", true},
        TeamsTextCase{"List", "[]", false},
        TeamsTextCase{"TeamIsText", R"({"t":"secret"})", false},
        TeamsTextCase{"NoName", R"({"":{"ApiKeys":["secret"]}})", false},
        TeamsTextCase{"KeysAreText", R"({"t":{"ApiKeys":"secret"}})", false},
        TeamsTextCase{"KeyIsNumber", R"({"t":{"ApiKeys":[7]}})", false},
        TeamsTextCase{"EmptyKey", R"({"t":{"ApiKeys":[""]}})", false},
        TeamsTextCase{
            "KeyOfTwoTeams",
            R"({"t":{"ApiKeys":["secret"]},"u":{"ApiKeys":["secret"]}})",
            false},
        TeamsTextCase{"RateBelowZero", R"({"t":{"RatePerS":-1}})", false},
        TeamsTextCase{"RateIsText", R"({"t":{"RatePerS":"1"}})", false},
        TeamsTextCase{"BurstBelowZero", R"({"t":{"RatePerS":1,"Burst":-1}})",
                      false},
        TeamsTextCase{"PriorityBelowZero", R"({"t":{"Priority":-1}})", false},
        TeamsTextCase{"PriorityIsText", R"({"t":{"Priority":"1"}})", false}),
    CaseName());

struct PublicCase {
  const char *Name_;
  std::string Field_;
  /// None if the document is invalid.
  std::optional<bool> IsPublic_;
};

class PublicRouteTest : public testing::TestWithParam<PublicCase> {};

// Guards against a route that is open to callers without a key by mistake.
TEST_P(PublicRouteTest, IsPublicOnlyWhenStated) {
  auto Read =
      platform::ConfigurationDocument::read(documentWithRoutes(routeWithFields(
          GetParam().Field_ + R"("Service":"s1","MaxAttempts":2)")));
  ASSERT_EQ(Read.hasValue(), GetParam().IsPublic_.has_value());
  if (Read) {
    EXPECT_EQ(
        Read.value().find(HostName("a.example"), "/a/")->Values_.IsPublic_,
        GetParam().IsPublic_);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Fields, PublicRouteTest,
    testing::Values(PublicCase{"Absent", "", false},
                    PublicCase{"True", R"("Public":true,)", true},
                    PublicCase{"False", R"("Public":false,)", false},
                    PublicCase{"Text", R"("Public":"false",)", std::nullopt},
                    PublicCase{"Number", R"("Public":1,)", std::nullopt}),
    CaseName());

/// Routes of a document that follows one with the route r1 to s1.
struct SuccessorCase {
  const char *Name_;
  std::string Routes_;
  /// Service of the route; none if the document is invalid.
  std::optional<std::string> Service_;
};

class SuccessorTest : public testing::TestWithParam<SuccessorCase> {};

// Guards against a reader that takes a route from the previous document though
// it changed, or accepts a text because it resembles the previous one.
TEST_P(SuccessorTest, IsReadLikeAFirstDocument) {
  platform::ConfigurationReader Reader;
  ASSERT_TRUE(Reader.read(ValidDocument));
  const auto Read = Reader.read(documentWithRoutes(GetParam().Routes_));
  ASSERT_EQ(Read.hasValue(), GetParam().Service_.has_value());
  if (!Read)
    return;
  const Route *Found = Read.value().find(HostName("a.example"), "/a/b");
  ASSERT_NE(Found, nullptr);
  EXPECT_EQ(Found->Values_.WeightedServices_.front().Service_,
            ServiceName(*GetParam().Service_));
}

const std::string FirstRoute =
    routeWithFields(R"("Service":"s1","MaxAttempts":2)");
const std::string ChangedRoute =
    routeWithFields(R"("Service":"s2","MaxAttempts":2)");

INSTANTIATE_TEST_SUITE_P(
    Texts, SuccessorTest,
    testing::Values(
        SuccessorCase{"Unchanged", FirstRoute, "s1"},
        SuccessorCase{"Changed", ChangedRoute, "s2"},
        SuccessorCase{"WithSpace", " \n" + ChangedRoute + " \t", "s2"},
        SuccessorCase{"OneNameTwice", FirstRoute + "," + ChangedRoute, "s2"},
        SuccessorCase{
            "BracesInANote",
            routeWithFields(R"("Note":"}\"{,","Service":"s2","MaxAttempts":2)"),
            "s2"},
        SuccessorCase{"NoComma", FirstRoute + " " + FirstRoute, std::nullopt},
        SuccessorCase{"CommaAtTheEnd", FirstRoute + ",", std::nullopt},
        SuccessorCase{"TextBehindARoute", FirstRoute + " 1", std::nullopt},
        SuccessorCase{"BracketsCrossed", R"("r1":{"Host":["a"}])",
                      std::nullopt}),
    CaseName());

} // namespace
} // namespace jaybridge
