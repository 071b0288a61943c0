#include <LibTrace/AuditTrail.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct QueryCase {
  const char *Name_;
  AuditQuery Query_;
  std::size_t ExpectedCount_;
};

AuditTrail createTrail() {
  AuditTrail Trail;
  for (int I = 0; I < 4; ++I) {
    AuditEntry Entry;
    Entry.At_ = WallTime(std::chrono::milliseconds(I));
    Entry.Kind_ = I % 2 == 0 ? AuditKind::InstanceEjected
                             : AuditKind::ConfigurationChanged;
    Entry.Service_ = ServiceName(I < 2 ? "tarifs" : "commandes");
    Trail.append(Entry);
  }
  return Trail;
}

class AuditQueryTest : public testing::TestWithParam<QueryCase> {};

// Guards against a query that misses matching entries or returns others.
TEST_P(AuditQueryTest, ReturnsExactlyTheMatchingEntries) {
  EXPECT_EQ(createTrail().findEntries(GetParam().Query_).size(),
            GetParam().ExpectedCount_);
}

INSTANTIATE_TEST_SUITE_P(
    Queries, AuditQueryTest,
    testing::Values(
        QueryCase{"All", {}, 4},
        QueryCase{"Since", {WallTime(std::chrono::milliseconds(3)), {}, {}}, 1},
        QueryCase{"Service", {{}, ServiceName("tarifs"), {}}, 2},
        QueryCase{"Kind", {{}, {}, AuditKind::InstanceEjected}, 2},
        QueryCase{"Both",
                  {{}, ServiceName("commandes"), AuditKind::InstanceEjected},
                  1},
        QueryCase{"None", {{}, ServiceName("inventaire"), {}}, 0}),
    CaseName());

} // namespace
} // namespace jaybridge
