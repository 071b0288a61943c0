#include <LibWire/TextCompression.h>

#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

std::string routes(std::size_t Count) {
  std::string Text;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Text += "{\"host\":\"h" + std::to_string(Index * 7919) +
            ".example\",\"prefix\":\"/p/\",\"attempts\":2}";
  return Text;
}

struct CompressionCase {
  const char *Name_;
  std::string Text_;
  /// Limit of the compressed length as a fraction of the text's length.
  double MaxRatio_;
};

class CompressionTest : public testing::TestWithParam<CompressionCase> {};

// Guards against text that compression changes, and against configurations that
// occupy a link of 2 Mbit/s for longer than their time limit to take effect.
TEST_P(CompressionTest, RoundTrips) {
  const std::string &Text = GetParam().Text_;
  std::vector<std::uint8_t> Compressed = compressText(Text);
  auto Decompressed = decompressText(Compressed);
  ASSERT_TRUE(Decompressed);
  EXPECT_EQ(Decompressed.value(), Text);
  EXPECT_LE(static_cast<double>(Compressed.size()),
            GetParam().MaxRatio_ * static_cast<double>(Text.size()) + 16);
}

INSTANTIATE_TEST_SUITE_P(
    Texts, CompressionTest,
    testing::Values(CompressionCase{"Empty", "", 1},
                    CompressionCase{"Short", "r1", 1},
                    CompressionCase{"Routes", routes(2000), 0.25},
                    CompressionCase{"LongerThanABlock", routes(20000), 0.25}),
    CaseName());

struct DamageCase {
  const char *Name_;
  /// Fraction of the compressed text that remains.
  double Share_;
  bool HasFlippedByte_;
};

class DamagedCompressionTest : public testing::TestWithParam<DamageCase> {};

// Guards against damaged bytes that are taken for a configuration.
TEST_P(DamagedCompressionTest, IsRefused) {
  std::vector<std::uint8_t> Compressed = compressText(routes(500));
  if (GetParam().HasFlippedByte_)
    Compressed[Compressed.size() / 2] ^= 0x40;
  Compressed.resize(static_cast<std::size_t>(
      static_cast<double>(Compressed.size()) * GetParam().Share_));
  auto Decompressed = decompressText(Compressed);
  ASSERT_FALSE(Decompressed);
  EXPECT_EQ(Decompressed.error().Code_, ErrorCode::Damaged);
}

INSTANTIATE_TEST_SUITE_P(Damages, DamagedCompressionTest,
                         testing::Values(DamageCase{"Nothing", 0, false},
                                         DamageCase{"Half", 0.5, false},
                                         DamageCase{"AllButTheEnd", 0.99,
                                                    false},
                                         DamageCase{"FlippedByte", 1, true}),
                         CaseName());

} // namespace
} // namespace jaybridge
