#include <LibProfile/TeamDirectory.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

#include <limits>

namespace jaybridge {
namespace {

TeamDraft makeTeam(const std::string &Name, std::vector<std::string> Keys,
                   std::optional<TeamLimit> Limit = std::nullopt) {
  TeamDraft Draft;
  Draft.Name_ = TeamName(Name);
  for (std::string &Key : Keys)
    Draft.Keys_.emplace_back(std::move(Key));
  Draft.Limit_ = Limit;
  return Draft;
}

struct InvalidTeamsCase {
  const char *Name_;
  std::vector<TeamDraft> Drafts_;
  std::string Field_;
};

class InvalidTeamsTest : public testing::TestWithParam<InvalidTeamsCase> {};

// Guards against a key of two teams, and against an error that contains a key.
TEST_P(InvalidTeamsTest, AreRejectedWithoutNamingAKey) {
  auto Created = TeamDirectory::create(GetParam().Drafts_);
  ASSERT_FALSE(Created);
  EXPECT_EQ(Created.error().Code_, ErrorCode::Invalid);
  EXPECT_EQ(Created.error().Field_, GetParam().Field_);
  EXPECT_EQ(Created.error().Message_.find("secret"), std::string::npos);
}

const double NaN = std::numeric_limits<double>::quiet_NaN();

INSTANTIATE_TEST_SUITE_P(
    Drafts, InvalidTeamsTest,
    testing::Values(
        InvalidTeamsCase{"NoName", {makeTeam("", {"secret"})}, "teams"},
        InvalidTeamsCase{"LineBreakInName", {makeTeam("a\r\nb", {})}, "teams"},
        InvalidTeamsCase{
            "SameName", {makeTeam("a", {}), makeTeam("a", {})}, "a"},
        InvalidTeamsCase{"EmptyKey", {makeTeam("a", {""})}, "a"},
        InvalidTeamsCase{
            "KeyOfTwoTeams",
            {makeTeam("b", {"other", "secret"}), makeTeam("a", {"secret"})},
            "b"},
        InvalidTeamsCase{"RateBelowZero",
                         {makeTeam("a", {}, TeamLimit{RequestRate(-1), {}})},
                         "a"},
        InvalidTeamsCase{
            "BurstBelowZero",
            {makeTeam("a", {}, TeamLimit{RequestRate(0), RequestTokens(-0.5)})},
            "a"},
        InvalidTeamsCase{"RateNotANumber",
                         {makeTeam("a", {}, TeamLimit{RequestRate(NaN), {}})},
                         "a"}),
    CaseName());

struct KeyCase {
  const char *Name_;
  std::string Key_;
  std::string Team_;
};

class KeyLookupTest : public testing::TestWithParam<KeyCase> {};

// Guards against a key that identifies another team, and against prefixes and
// extensions of keys that are accepted.
TEST_P(KeyLookupTest, FindsTheTeamOfTheWholeKey) {
  auto Created =
      TeamDirectory::create({makeTeam("b", {"key-of-b"}), makeTeam("c", {}),
                             makeTeam("a", {"key-1", "key-2", "key-2"})});
  ASSERT_TRUE(Created);
  const Team *Found = Created.value().findByKey(Credential(GetParam().Key_));
  EXPECT_EQ(Found ? Found->Name_.text() : "", GetParam().Team_);
}

INSTANTIATE_TEST_SUITE_P(Keys, KeyLookupTest,
                         testing::Values(KeyCase{"First", "key-1", "a"},
                                         KeyCase{"Second", "key-2", "a"},
                                         KeyCase{"OfAnotherTeam", "key-of-b",
                                                 "b"},
                                         KeyCase{"Prefix", "key-", ""},
                                         KeyCase{"Extension", "key-11", ""},
                                         KeyCase{"OtherCase", "KEY-1", ""},
                                         KeyCase{"LastByte", "key-of-c", ""},
                                         KeyCase{"Empty", "", ""}),
                         CaseName());

// Guards against a team that is missing by name, and against a rate of 0 that
// is taken for a limit.
TEST(TeamDirectoryTest, FindsTeamsByName) {
  auto Created = TeamDirectory::create(
      {makeTeam("b", {}, TeamLimit{RequestRate(0), RequestTokens(5)}),
       makeTeam("a", {}, TeamLimit{RequestRate(2.5), RequestTokens(5)})});
  ASSERT_TRUE(Created);
  const TeamDirectory &Teams = Created.value();
  ASSERT_EQ(Teams.teams().size(), 2U);
  ASSERT_NE(Teams.find(TeamName("a")), nullptr);
  EXPECT_EQ(Teams.find(TeamName("a"))->Limit_,
            (TeamLimit{RequestRate(2.5), RequestTokens(5)}));
  EXPECT_EQ(Teams.find(TeamName("b"))->Limit_, std::nullopt);
  EXPECT_EQ(Teams.find(TeamName("c")), nullptr);
}

} // namespace
} // namespace jaybridge
