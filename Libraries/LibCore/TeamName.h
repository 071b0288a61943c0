#pragma once

#include <LibCore/Identifier.h>

namespace jaybridge {

/// A group of callers that share keys, a priority and a limit.
using TeamName = Identifier<struct TeamNameTag>;

} // namespace jaybridge
