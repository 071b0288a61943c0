#pragma once

#include <LibCore/Quantity.h>

#include <cstdint>

namespace jaybridge {

using ByteCount = Quantity<struct ByteCountTag, std::uint64_t>;
/// Number of requests that an instance runs at the same time.
using SlotCount = Quantity<struct SlotCountTag, std::uint32_t>;
/// Whole percent, from 0 to 100.
using Percentage = Quantity<struct PercentageTag, std::uint32_t>;
/// Relative weight in weighted scheduling; a larger weight gets a larger share.
using ClassWeight = Quantity<struct ClassWeightTag, std::uint32_t>;
/// Probability that a statistical test decides wrongly, in (0, 1).
using ErrorRate = Quantity<struct ErrorRateTag, double>;
/// Number of events or objects of one kind.
using EventCount = Quantity<struct EventCountTag, std::uint64_t>;
using Port = Quantity<struct PortTag, std::uint16_t>;
/// HTTP status code.
using StatusCode = Quantity<struct StatusCodeTag, std::uint16_t>;

} // namespace jaybridge
