#pragma once

#include <Options.h>

namespace jaybridge {

/// Asks a gateway where it would send a request now, and prints the answer. The
/// gateway does not send the request.
ExitCode runExplain(const Options &Opts);

} // namespace jaybridge
