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

struct PackingCase {
  const char *Name_;
  std::string Text_;
  /// The packed length is at most this part of the text's.
  double GreatestShare_;
};

class PackingTest : public testing::TestWithParam<PackingCase> {};

// Guards against text that comes back changed, and against configurations that
// fill a link of 2 Mbit/s for longer than they may take to be in force.
TEST_P(PackingTest, ComesBackWhole) {
  const std::string &Text = GetParam().Text_;
  std::vector<std::uint8_t> Packed = compressText(Text);
  auto Unpacked = decompressText(Packed);
  ASSERT_TRUE(Unpacked);
  EXPECT_EQ(Unpacked.value(), Text);
  EXPECT_LE(static_cast<double>(Packed.size()),
            GetParam().GreatestShare_ * static_cast<double>(Text.size()) + 16);
}

INSTANTIATE_TEST_SUITE_P(
    Texts, PackingTest,
    testing::Values(PackingCase{"Empty", "", 1}, PackingCase{"Short", "r1", 1},
                    PackingCase{"Routes", routes(2000), 0.25},
                    PackingCase{"LongerThanABlock", routes(20000), 0.25}),
    CaseName());

struct DamageCase {
  const char *Name_;
  /// Bytes that are left of the packed text.
  double Share_;
  bool HasFlippedByte_;
};

class DamagedPackingTest : public testing::TestWithParam<DamageCase> {};

// Guards against damaged bytes that are taken for a configuration.
TEST_P(DamagedPackingTest, IsRefused) {
  std::vector<std::uint8_t> Packed = compressText(routes(500));
  if (GetParam().HasFlippedByte_)
    Packed[Packed.size() / 2] ^= 0x40;
  Packed.resize(static_cast<std::size_t>(static_cast<double>(Packed.size()) *
                                         GetParam().Share_));
  auto Unpacked = decompressText(Packed);
  ASSERT_FALSE(Unpacked);
  EXPECT_EQ(Unpacked.error().Code_, ErrorCode::Damaged);
}

INSTANTIATE_TEST_SUITE_P(Damages, DamagedPackingTest,
                         testing::Values(DamageCase{"Nothing", 0, false},
                                         DamageCase{"Half", 0.5, false},
                                         DamageCase{"AllButTheEnd", 0.99,
                                                    false},
                                         DamageCase{"FlippedByte", 1, true}),
                         CaseName());

} // namespace
} // namespace jaybridge
