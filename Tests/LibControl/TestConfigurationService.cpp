#include "ControlGroup.h"

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

ConfigurationChange createProfile(const std::string &Name,
                                  std::uint64_t BasedOn) {
  ProfileDraft Draft;
  Draft.Name_ = ProfileName(Name);
  return {ChangeRequestId("create-" + Name), ConfigurationVersion(BasedOn),
          OperatorName("tester"), WallTime(), CreateProfile{Draft}};
}

struct DaemonCase {
  const char *Name_;
};

class ConfigurationServiceTest : public testing::TestWithParam<DaemonCase> {
protected:
  void SetUp() override { Group_.run(5s); }

  ControlGroup Group_;
};

// Guards against operators' questions that only some daemons can answer. A read
// once waited for the index of an entry that is no command, and was never
// served.
TEST_P(ConfigurationServiceTest, AnswersOperatorsAtAnyDaemon) {
  Group_.give(GetParam().Name_,
              OperatorChangeRequest{QueryId(1), createProfile("a", 0)});
  Group_.run(3s);
  ASSERT_TRUE(Group_.Changes_.contains(QueryId(1)));
  ASSERT_TRUE(Group_.Changes_.at(QueryId(1)))
      << Group_.Changes_.at(QueryId(1)).error().Message_;
  EXPECT_EQ(Group_.Changes_.at(QueryId(1)).value(), ConfigurationVersion(1));
  Group_.give(GetParam().Name_, OperatorCatalogRequest{QueryId(2)});
  Group_.run(3s);
  ASSERT_TRUE(Group_.Catalogs_.contains(QueryId(2)));
  ASSERT_TRUE(Group_.Catalogs_.at(QueryId(2)));
  EXPECT_EQ(Group_.Catalogs_.at(QueryId(2)).value().Profiles_.size(), 1U);
}

// Guards against a change that is applied twice, or refused, when its operator
// resends it after losing the answer.
TEST_P(ConfigurationServiceTest, GivesAResendItsFirstAnswer) {
  for (std::uint64_t Query : {1, 2}) {
    Group_.give(GetParam().Name_,
                OperatorChangeRequest{QueryId(Query), createProfile("a", 0)});
    Group_.run(3s);
    ASSERT_TRUE(Group_.Changes_.contains(QueryId(Query)));
    ASSERT_TRUE(Group_.Changes_.at(QueryId(Query)));
    EXPECT_EQ(Group_.Changes_.at(QueryId(Query)).value(),
              ConfigurationVersion(1));
  }
}

// Guards against two winners among changes that carry equal versions.
TEST_P(ConfigurationServiceTest, AcceptsOneOfTwoChangesOfOneVersion) {
  Group_.give(GetParam().Name_,
              OperatorChangeRequest{QueryId(1), createProfile("a", 0)});
  Group_.give("c0", OperatorChangeRequest{QueryId(2), createProfile("b", 0)});
  Group_.run(3s);
  ASSERT_EQ(Group_.Changes_.size(), 2U);
  const auto &First = Group_.Changes_.at(QueryId(1));
  const auto &Second = Group_.Changes_.at(QueryId(2));
  ASSERT_NE(First.hasValue(), Second.hasValue());
  EXPECT_EQ((First ? Second : First).error().Code_, ErrorCode::Conflict);
}

INSTANTIATE_TEST_SUITE_P(Daemons, ConfigurationServiceTest,
                         testing::Values(DaemonCase{"c0"}, DaemonCase{"c1"},
                                         DaemonCase{"c2"}, DaemonCase{"g0"}),
                         CaseName());

// Guards against a control member that is cut off and answers nevertheless.
TEST(ConfigurationServiceCut, RefusesWithoutAMajority) {
  ControlGroup Group;
  Group.run(5s);
  for (const char *Member : {"c0", "c1", "c2"})
    Group.cut(Member);
  for (const char *Member : {"c0", "c1", "c2"}) {
    Group.Changes_.clear();
    Group.Catalogs_.clear();
    Group.give(Member,
               OperatorChangeRequest{QueryId(1), createProfile("a", 0)});
    Group.give(Member, OperatorCatalogRequest{QueryId(2)});
    Group.run(10s);
    ASSERT_TRUE(Group.Changes_.contains(QueryId(1)));
    EXPECT_FALSE(Group.Changes_.at(QueryId(1)));
    ASSERT_TRUE(Group.Catalogs_.contains(QueryId(2)));
    EXPECT_FALSE(Group.Catalogs_.at(QueryId(2)));
  }
}

} // namespace
} // namespace jaybridge
