#pragma once

#include <LibRouting/GatewayMessages.h>

namespace jaybridge {

/// Name of the step in logs and traces.
const char *stepName(StepKind Kind);

} // namespace jaybridge
