#include <LibRegistry/DocumentDelta.h>

#include <LibCore/Random.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

std::string routesDocument(std::size_t Count, std::size_t Changed) {
  std::string Text = "{\"Routes\":{";
  for (std::size_t Index = 0; Index < Count; ++Index)
    Text += "\"r" + std::to_string(Index) + "\":{\"Target\":\"" +
            (Index == Changed ? "new" : "old") + "\"},";
  return Text + "}}";
}

struct DeltaCase {
  const char *Name_;
  std::string Base_;
  std::string Target_;
  /// The whole document is sent instead of a delta.
  bool HasNoDelta_;
};

class DocumentDeltaTest : public testing::TestWithParam<DeltaCase> {};

// Guards against deltas that don't reproduce the target document, and against
// sending the whole configuration when one route changed.
TEST_P(DocumentDeltaTest, ReproducesTheTargetDocument) {
  const StoredDocument Base{ConfigurationVersion(4), GetParam().Base_};
  const StoredDocument Target{ConfigurationVersion(9), GetParam().Target_};
  auto Delta = computeDelta(Base, Target);
  ASSERT_EQ(Delta.has_value(), !GetParam().HasNoDelta_);
  if (!Delta)
    return;
  auto Applied = applyDelta(Base, *Delta);
  ASSERT_TRUE(Applied);
  EXPECT_EQ(Applied.value(), Target);
}

INSTANTIATE_TEST_SUITE_P(
    Documents, DocumentDeltaTest,
    testing::Values(DeltaCase{"OneRouteChanged", routesDocument(100, 100),
                              routesDocument(100, 40), false},
                    DeltaCase{"RoutesAdded", routesDocument(100, 100),
                              routesDocument(120, 120), false},
                    DeltaCase{"RoutesRemoved", routesDocument(100, 100),
                              routesDocument(3, 3), false},
                    DeltaCase{"Unchanged", routesDocument(10, 10),
                              routesDocument(10, 10), false},
                    DeltaCase{"Unrelated", routesDocument(10, 10), "{\"x\":1}",
                              true},
                    DeltaCase{"FromNothing", "", routesDocument(10, 10), true}),
    CaseName());

// Guards against applying a delta to a document other than its base.
TEST(DocumentDeltaBaseTest, RejectsOtherBaseVersionsAndRangesBeyondTheBase) {
  const StoredDocument Base{ConfigurationVersion(4), "abc"};
  DocumentDelta Delta{ConfigurationVersion(3), ConfigurationVersion(5), {}};
  EXPECT_EQ(applyDelta(Base, Delta).error().Code_, ErrorCode::Conflict);
  Delta.Base_ = ConfigurationVersion(4);
  Delta.Parts_.emplace_back(CopyRange{2, 2});
  EXPECT_EQ(applyDelta(Base, Delta).error().Code_, ErrorCode::Damaged);
}

// Guards against a document that is spliced from two others, which has happened
// when two documents with the same version existed.
TEST(DocumentDeltaBaseTest, RejectsAnotherTextOfTheBaseVersion) {
  const StoredDocument Base{ConfigurationVersion(4), routesDocument(100, 7)};
  const StoredDocument Other{ConfigurationVersion(4), routesDocument(100, 8)};
  const StoredDocument Target{ConfigurationVersion(5), routesDocument(100, 9)};
  auto Delta = computeDelta(Base, Target);
  ASSERT_TRUE(Delta);
  EXPECT_TRUE(applyDelta(Base, *Delta));
  EXPECT_EQ(applyDelta(Other, *Delta).error().Code_, ErrorCode::Damaged);
}

} // namespace
} // namespace jaybridge
