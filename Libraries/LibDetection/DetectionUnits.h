#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Units.h>

namespace jaybridge {

/// Probability between 0 and 1.
using Probability = Quantity<struct ProbabilityTag, double>;
/// Natural logarithm of the likelihood ratio of "faulty" to "healthy"; positive
/// values are evidence against the instance.
using LogLikelihoodRatio = Quantity<struct LogLikelihoodRatioTag, double>;
/// Sequence number of the evidence reports of one gateway.
using ReportNumber = Ordinal<struct ReportNumberTag>;

} // namespace jaybridge
