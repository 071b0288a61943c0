#include <LibOperator/ProfileJson.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace jaybridge {
namespace {

struct FieldCase {
  const char *Name_;
  const char *Json_;
  /// Empty when the profile is valid.
  const char *InvalidField_;
};

class ProfileJsonTest : public testing::TestWithParam<FieldCase> {};

// Guards against an unknown field that is silently ignored and against a number
// that wraps around.
TEST_P(ProfileJsonTest, NamesTheInvalidField) {
  auto Parsed = parseProfileDraft(nlohmann::json::parse(GetParam().Json_), {});
  if (std::string(GetParam().InvalidField_).empty()) {
    EXPECT_TRUE(Parsed);
    return;
  }
  ASSERT_FALSE(Parsed);
  EXPECT_EQ(Parsed.error().Field_, GetParam().InvalidField_);
}

INSTANTIATE_TEST_SUITE_P(
    Fields, ProfileJsonTest,
    testing::Values(
        FieldCase{"Whole", R"({"name":"a","floor_percent":70})", ""},
        FieldCase{"Unknown", R"({"flor_percent":70})", "flor_percent"},
        FieldCase{"Negative", R"({"floor_percent":-1})", "floor_percent"},
        FieldCase{"Text", R"({"patience_ms":"soon"})", "patience_ms"},
        FieldCase{"TooGreat", R"({"class_weight":4294967297})", "class_weight"},
        FieldCase{"NotBoolean", R"({"repeatable":1})", "repeatable"}),
    CaseName());

// Guards against fields that are lost or changed between toJson() and
// parseProfileDraft().
TEST(ProfileJson, ParsesItsOwnOutput) {
  ProfileDraft Draft;
  Draft.Name_ = ProfileName("counter");
  Draft.Repeatability_ = Repeatability::Repeatable;
  Draft.Patience_ = std::chrono::milliseconds(1500);
  Draft.IsHedgingAllowed_ = true;
  auto Parsed = parseProfileDraft(toJson(Draft), {});
  ASSERT_TRUE(Parsed);
  EXPECT_EQ(Parsed.value(), Draft);
}

} // namespace
} // namespace jaybridge
