#pragma once

#include <LibRouting/GatewayMessages.h>

namespace jaybridge {

/// The step's name in logs and traces.
const char *stepName(StepKind Kind);

} // namespace jaybridge
