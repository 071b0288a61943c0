#pragma once

#include <OperatorClient.h>
#include <Options.h>

namespace jaybridge {

/// Runs the command that the arguments name and prints its result.
ExitCode runCommand(const Options &Opts, const OperatorClient &Client);

/// A new UUID version 7 (RFC 9562) with the current time.
std::string newIdempotencyKey();

/// The commands and their arguments, for --help.
const char *commandSummary();

} // namespace jaybridge
