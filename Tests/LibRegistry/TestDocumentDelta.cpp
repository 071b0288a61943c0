#include <LibRegistry/DocumentDelta.h>

#include <LibCore/Random.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

std::string routesOf(std::size_t Count, std::size_t Changed) {
  std::string Text = "{\"Routes\":{";
  for (std::size_t Index = 0; Index < Count; ++Index)
    Text += "\"r" + std::to_string(Index) + "\":{\"Target\":\"" +
            (Index == Changed ? "new" : "old") + "\"},";
  return Text + "}}";
}

struct DeltaCase {
  const char *Name_;
  std::string Base_;
  std::string Newer_;
  /// Whether the whole document is sent instead.
  bool IsWhole_;
};

class DocumentDeltaTest : public testing::TestWithParam<DeltaCase> {};

// Guards against a configuration that differs on the other side of a delta,
// and against whole configurations being sent for a change of one route.
TEST_P(DocumentDeltaTest, GivesTheNewerDocument) {
  const StoredDocument Base{ConfigurationVersion(4), GetParam().Base_};
  const StoredDocument Newer{ConfigurationVersion(9), GetParam().Newer_};
  auto Delta = deltaBetween(Base, Newer);
  ASSERT_EQ(Delta.has_value(), !GetParam().IsWhole_);
  if (!Delta)
    return;
  auto Applied = applyDelta(Base, *Delta);
  ASSERT_TRUE(Applied);
  EXPECT_EQ(Applied.value(), Newer);
}

INSTANTIATE_TEST_SUITE_P(
    Documents, DocumentDeltaTest,
    testing::Values(
        DeltaCase{"OneRouteChanged", routesOf(100, 100), routesOf(100, 40),
                  false},
        DeltaCase{"RoutesAdded", routesOf(100, 100), routesOf(120, 120), false},
        DeltaCase{"RoutesRemoved", routesOf(100, 100), routesOf(3, 3), false},
        DeltaCase{"Unchanged", routesOf(10, 10), routesOf(10, 10), false},
        DeltaCase{"Unrelated", routesOf(10, 10), "{\"x\":1}", true},
        DeltaCase{"FromNothing", "", routesOf(10, 10), true}),
    CaseName());

// Guards against a delta that is applied to another document than its base.
TEST(DocumentDeltaBaseTest, RefusesAnotherBaseAndRangesOutsideOfIt) {
  const StoredDocument Base{ConfigurationVersion(4), "abc"};
  DocumentDelta Delta{ConfigurationVersion(3), ConfigurationVersion(5), {}};
  EXPECT_EQ(applyDelta(Base, Delta).error().Code_, ErrorCode::Conflict);
  Delta.Base_ = ConfigurationVersion(4);
  Delta.Parts_.emplace_back(CopyRange{2, 2});
  EXPECT_EQ(applyDelta(Base, Delta).error().Code_, ErrorCode::Damaged);
}

} // namespace
} // namespace jaybridge
