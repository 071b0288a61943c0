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

// Guards against a value that reads as another field or as another log line.
TEST_P(LogLineTest, QuotesValuesThatContainSeparators) {
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

// Guards against repeated log lines while the state of a subject is unchanged.
TEST(LogTest, WritesRepeatedStatesOnce) {
  Log Writer(LogLevel::Off, MemberId("m"));
  EXPECT_TRUE(Writer.writeStateChange(LogLevel::Info, "peer m2", "alive"));
  EXPECT_FALSE(Writer.writeStateChange(LogLevel::Info, "peer m2", "alive"));
  EXPECT_TRUE(Writer.writeStateChange(LogLevel::Info, "peer m3", "alive"));
  EXPECT_TRUE(Writer.writeStateChange(LogLevel::Info, "peer m2", "dead"));
}

} // namespace
} // namespace jaybridge
