#include <LibLog/Log.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct LineCase {
  const char *Name_;
  const char *Value_;
  const char *Line_;
};

class LogLineTest : public testing::TestWithParam<LineCase> {};

// Guards against values that look like other fields or other lines.
TEST_P(LogLineTest, KeepsValuesApart) {
  EXPECT_EQ(formatLogLine("left", {{"a", GetParam().Value_}, {"b", "2"}}),
            GetParam().Line_);
}

INSTANTIATE_TEST_SUITE_P(
    Values, LogLineTest,
    testing::Values(LineCase{"Plain", "x-1", "event=left a=x-1 b=2"},
                    LineCase{"Empty", "", "event=left a=\"\" b=2"},
                    LineCase{"Space", "x b=3", "event=left a=\"x b=3\" b=2"},
                    LineCase{"Quote", "\"\\", "event=left a=\"\\\"\\\\\" b=2"},
                    LineCase{"LineBreak", "x\ny", "event=left a=\"x?y\" b=2"}),
    CaseName());

// Guards against a line for each repetition of a state.
TEST(LogTest, WritesOnlyChanges) {
  Log Written(LogLevel::Off, MemberId("m"));
  EXPECT_TRUE(Written.writeStateChange(LogLevel::Info, "peer m2", "alive"));
  EXPECT_FALSE(Written.writeStateChange(LogLevel::Info, "peer m2", "alive"));
  EXPECT_TRUE(Written.writeStateChange(LogLevel::Info, "peer m3", "alive"));
  EXPECT_TRUE(Written.writeStateChange(LogLevel::Info, "peer m2", "dead"));
}

} // namespace
} // namespace jaybridge
