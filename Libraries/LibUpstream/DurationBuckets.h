#pragma once

#include <LibCore/Time.h>

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>

namespace jaybridge {

/// Four histogram buckets per doubling of a duration (an error of at most 19%).
struct DurationBuckets {
  static constexpr std::size_t Count = 128;
  static constexpr std::uint64_t PerDoubling = 4;

  static std::size_t of(Duration Elapsed) {
    auto Microseconds = static_cast<std::uint64_t>(std::max<Duration::rep>(
        Elapsed.count(), static_cast<Duration::rep>(PerDoubling)));
    auto Exponent =
        static_cast<std::uint64_t>(std::bit_width(Microseconds)) - 1;
    std::uint64_t Fraction = (Microseconds >> (Exponent - 2)) - PerDoubling;
    return std::min<std::size_t>((Exponent - 2) * PerDoubling + Fraction,
                                 Count - 1);
  }
  static Duration upperBound(std::size_t Bucket) {
    std::uint64_t Exponent = Bucket / PerDoubling;
    std::uint64_t Fraction = Bucket % PerDoubling;
    return Duration((PerDoubling + Fraction + 1) << Exponent);
  }
  static Duration middle(std::size_t Bucket) {
    std::uint64_t Exponent = Bucket / PerDoubling;
    std::uint64_t Fraction = Bucket % PerDoubling;
    return Duration(((2 * (PerDoubling + Fraction) + 1) << Exponent) / 2);
  }
};

} // namespace jaybridge
