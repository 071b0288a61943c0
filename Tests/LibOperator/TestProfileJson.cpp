#include <LibOperator/ProfileJson.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace jaybridge {
namespace {

struct FieldCase {
  const char *Name_;
  const char *Json_;
  const char *FaultyField_;
};

class ProfileJsonTest : public testing::TestWithParam<FieldCase> {};

// Guards against a field that is silently ignored or wrapped around.
TEST_P(ProfileJsonTest, NamesTheFaultyField) {
  auto Read = parseProfileDraft(nlohmann::json::parse(GetParam().Json_), {});
  if (std::string(GetParam().FaultyField_).empty()) {
    EXPECT_TRUE(Read);
    return;
  }
  ASSERT_FALSE(Read);
  EXPECT_EQ(Read.error().Field_, GetParam().FaultyField_);
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

TEST(ProfileJson, ReadsBackWhatItWrites) {
  ProfileDraft Draft;
  Draft.Name_ = ProfileName("counter");
  Draft.Repeat_ = Repeatability::Repeatable;
  Draft.Patience_ = std::chrono::milliseconds(1500);
  Draft.HedgingAllowed_ = true;
  auto Read = parseProfileDraft(toJson(Draft), {});
  ASSERT_TRUE(Read);
  EXPECT_EQ(Read.value(), Draft);
}

} // namespace
} // namespace jaybridge
