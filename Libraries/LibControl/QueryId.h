#pragma once

#include <LibCore/Identifier.h>

namespace jaybridge {

/// Names one question of an operator until it is answered.
using QueryId = Ordinal<struct QueryIdTag>;

} // namespace jaybridge
