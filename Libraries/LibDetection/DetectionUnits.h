#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Units.h>

namespace jaybridge {

/// Between 0 and 1.
using Probability = Quantity<struct ProbabilityTag, double>;
/// Natural logarithm of a likelihood ratio; positive speaks against the
/// instance.
using Evidence = Quantity<struct EvidenceTag, double>;
/// Orders the reports of one gateway for one service.
using ReportNumber = Ordinal<struct ReportNumberTag>;

} // namespace jaybridge
