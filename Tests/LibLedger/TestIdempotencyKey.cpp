#include <LibLedger/IdempotencyKey.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

struct KeyCase {
  const char *Name_;
  const char *Text_;
  /// Expected creation time; -1 for an invalid key.
  std::int64_t Milliseconds_;
};

class IdempotencyKeyTest : public testing::TestWithParam<KeyCase> {};

// Guards against accepting keys without a creation time: their records could
// not expire safely. Any UUID that is not version 7 must be refused.
TEST_P(IdempotencyKeyTest, AcceptsOnlyVersion7) {
  auto Key = IdempotencyKey::create(GetParam().Text_);
  ASSERT_EQ(Key.hasValue(), GetParam().Milliseconds_ >= 0);
  if (!Key)
    return;
  EXPECT_EQ(Key.value().createdAt().time_since_epoch().count(),
            GetParam().Milliseconds_);
  EXPECT_EQ(IdempotencyKey::create(Key.value().text()).value(), Key.value());
}

// The first row is the example in RFC 9562, appendix A.6.
INSTANTIATE_TEST_SUITE_P(
    Texts, IdempotencyKeyTest,
    testing::Values(
        KeyCase{"Example", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f",
                0x017f22e279b0},
        KeyCase{"UpperCase", "017F22E2-79B0-7CC3-98C4-DC0C0C07398F",
                0x017f22e279b0},
        KeyCase{"Version4", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", -1},
        KeyCase{"WrongVariant", "017f22e2-79b0-7cc3-58c4-dc0c0c07398f", -1},
        KeyCase{"NoDashes", "017f22e279b07cc398c4dc0c0c07398f", -1},
        KeyCase{"MovedDash", "017f22e27-9b0-7cc3-98c4-dc0c0c07398f", -1},
        KeyCase{"NotHexadecimal", "017f22e2-79b0-7cc3-98c4-dc0c0c07398g", -1},
        KeyCase{"TooLong", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f0", -1},
        KeyCase{"Empty", "", -1}),
    CaseName());

} // namespace
} // namespace jaybridge
