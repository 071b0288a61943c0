#include <Platform/ConfigurationDocument.h>

#include <Support/CaseName.h>
#include <Support/ThreadTime.h>

#include <gtest/gtest.h>

#include <functional>

namespace jaybridge {
namespace {

constexpr std::size_t FewRoutes = 1000;
constexpr std::size_t ManyRoutes = 8000;

std::string routeText(std::size_t Index, const std::string &Service) {
  const std::string Number = std::to_string(Index);
  return R"("r)" + Number + R"(":{"Host":"a.example","PathPrefix":"/p)" +
         Number + R"(/","Kind":"safe","TimeoutS":1500,"TargetLatencyS":1000,)" +
         R"("Priority":2,"Service":")" + Service + R"(","MaxAttempts":2})";
}

/// Routes of one host; those up to the given count go to another service.
std::string documentText(std::uint64_t Version, std::size_t RouteCount,
                         std::size_t ChangedCount = 0) {
  std::string Text =
      R"({"Version":)" + std::to_string(Version) + R"(,"Routes":{)";
  for (std::size_t Index = 0; Index < RouteCount; ++Index)
    Text += (Index > 0 ? "," : "") +
            routeText(Index, Index < ChangedCount ? "s2" : "s1");
  return Text + R"(},"Services":{"s1":{"HealthPath":"/h"},)"
                R"("s2":{"HealthPath":"/h"}},"Tenants":{"t1":{"RatePerS":5,)"
                R"("Burst":5}},"Limits":{}})";
}

/// Work on a large document whose processor time is compared with that of other
/// work.
struct WorkCase {
  const char *Name_;
  std::function<void()> Work_;
  std::function<void()> Reference_;
  /// Processor time of the work, as a multiple of the reference.
  double MaxRatio_;
};

void readWhole(const std::string &Text) {
  ASSERT_TRUE(platform::ConfigurationDocument::read(Text));
}

const std::string FewText = documentText(7, FewRoutes);
const std::string ManyText = documentText(7, ManyRoutes);

class ConfigurationWorkTest : public testing::TestWithParam<WorkCase> {};

// Guards against work that grows faster than the configuration or than what a
// change changes: it held up elections, departures and limits of teams.
TEST_P(ConfigurationWorkTest, IsInProportion) {
  const WorkCase &Case = GetParam();
  const Duration Reference = leastThreadTime(Case.Reference_);
  EXPECT_LE(leastThreadTime(Case.Work_) / 1us,
            Case.MaxRatio_ * static_cast<double>(Reference / 1us));
}

const std::string ChangedText = documentText(8, ManyRoutes, 1);

/// Reads a document that differs from the previous one in one route.
void readChange() {
  static platform::ConfigurationReader Reader;
  static bool IsChanged = false;
  IsChanged = !IsChanged;
  ASSERT_TRUE(Reader.read(IsChanged ? ChangedText : ManyText));
}

INSTANTIATE_TEST_SUITE_P(
    Documents, ConfigurationWorkTest,
    testing::Values(
        // Three times as much as in proportion, for caches.
        WorkCase{"WholeDocument", [] { readWhole(ManyText); },
                 [] { readWhole(FewText); }, 3.0 * ManyRoutes / FewRoutes},
        WorkCase{"OneChange", readChange, [] { readWhole(ManyText); }, 0.4},
        WorkCase{"LimitsOfTeams",
                 [] {
                   ASSERT_EQ(
                       platform::ConfigurationDocument::readTeamLimits(ManyText)
                           .size(),
                       1U);
                 },
                 [] { readWhole(ManyText); }, 0.25}),
    CaseName());

} // namespace
} // namespace jaybridge
