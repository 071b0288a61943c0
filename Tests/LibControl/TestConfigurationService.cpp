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

// Guards against operator requests that only some daemons can answer. One such
// fault was a read that waited for the application of a log entry that carries
// no command, and so was never answered.
TEST_P(ConfigurationServiceTest, AnswersOperatorsAtAnyDaemon) {
  Group_.sendEvent(GetParam().Name_,
                   OperatorChangeRequest{QueryId(1), createProfile("a", 0)});
  Group_.run(3s);
  ASSERT_TRUE(Group_.ChangeResults_.contains(QueryId(1)));
  ASSERT_TRUE(Group_.ChangeResults_.at(QueryId(1)))
      << Group_.ChangeResults_.at(QueryId(1)).error().Message_;
  EXPECT_EQ(Group_.ChangeResults_.at(QueryId(1)).value(),
            ConfigurationVersion(1));
  Group_.sendEvent(GetParam().Name_, OperatorCatalogRequest{QueryId(2)});
  Group_.run(3s);
  ASSERT_TRUE(Group_.CatalogResults_.contains(QueryId(2)));
  ASSERT_TRUE(Group_.CatalogResults_.at(QueryId(2)));
  EXPECT_EQ(Group_.CatalogResults_.at(QueryId(2)).value().Profiles_.size(), 1U);
}

// Guards against a change that is applied twice, or refused, when the operator
// did not receive the answer and resends it.
TEST_P(ConfigurationServiceTest, RepeatsAnswerToResentChange) {
  for (std::uint64_t Query : {1, 2}) {
    Group_.sendEvent(
        GetParam().Name_,
        OperatorChangeRequest{QueryId(Query), createProfile("a", 0)});
    Group_.run(3s);
    ASSERT_TRUE(Group_.ChangeResults_.contains(QueryId(Query)));
    ASSERT_TRUE(Group_.ChangeResults_.at(QueryId(Query)));
    EXPECT_EQ(Group_.ChangeResults_.at(QueryId(Query)).value(),
              ConfigurationVersion(1));
  }
}

// Guards against lost updates: two changes that are based on the same version
// must not both be accepted.
TEST_P(ConfigurationServiceTest, AcceptsOneOfTwoChangesBasedOnTheSameVersion) {
  Group_.sendEvent(GetParam().Name_,
                   OperatorChangeRequest{QueryId(1), createProfile("a", 0)});
  Group_.sendEvent("c0",
                   OperatorChangeRequest{QueryId(2), createProfile("b", 0)});
  Group_.run(3s);
  ASSERT_EQ(Group_.ChangeResults_.size(), 2U);
  const auto &First = Group_.ChangeResults_.at(QueryId(1));
  const auto &Second = Group_.ChangeResults_.at(QueryId(2));
  ASSERT_NE(First.hasValue(), Second.hasValue());
  EXPECT_EQ((First ? Second : First).error().Code_, ErrorCode::Conflict);
}

INSTANTIATE_TEST_SUITE_P(Daemons, ConfigurationServiceTest,
                         testing::Values(DaemonCase{"c0"}, DaemonCase{"c1"},
                                         DaemonCase{"c2"}, DaemonCase{"g0"}),
                         CaseName());

// Guards against a control member that accepts changes or serves reads while it
// is partitioned from the majority.
TEST(ConfigurationServicePartition, RefusesWithoutAMajority) {
  ControlGroup Group;
  Group.run(5s);
  for (const char *Member : {"c0", "c1", "c2"})
    Group.isolate(Member);
  for (const char *Member : {"c0", "c1", "c2"}) {
    Group.ChangeResults_.clear();
    Group.CatalogResults_.clear();
    Group.sendEvent(Member,
                    OperatorChangeRequest{QueryId(1), createProfile("a", 0)});
    Group.sendEvent(Member, OperatorCatalogRequest{QueryId(2)});
    Group.run(10s);
    ASSERT_TRUE(Group.ChangeResults_.contains(QueryId(1)));
    EXPECT_FALSE(Group.ChangeResults_.at(QueryId(1)));
    ASSERT_TRUE(Group.CatalogResults_.contains(QueryId(2)));
    EXPECT_FALSE(Group.CatalogResults_.at(QueryId(2)));
  }
}

} // namespace
} // namespace jaybridge
